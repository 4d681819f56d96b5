import type { Milliseconds, Timer } from "@wasabivane/common";
import type { DecisionLog } from "./decisionLog.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";
import type { HostMemory } from "./hostMemory.ts";
import type { UncaughtErrors } from "./uncaughtErrors.ts";

/** A process that is flooded reaches its limit within a second. */
const CHECK_INTERVAL_MS: Milliseconds = 250;
const LOG_INTERVAL_MS: Milliseconds = 10_000;
/** Share of a limit from which the use of memory is logged. */
const HIGH_SHARE = 0.85;

/** The events of the runtime's process that are listened to. */
export interface MonitoredProcess {
  on(
    event: "uncaughtException",
    listener: (thrown: unknown, origin: string) => void,
  ): unknown;
  on(event: "exit", listener: (code: number) => void): unknown;
}

/** Use of memory, in bytes. */
export interface MemoryUse {
  /** Objects of the runtime. */
  readonly heap: number;
  /** The runtime ends the process at this size of the heap. */
  readonly heapLimit: number;
  /** Memory of the whole process. */
  readonly resident: number;
  /** Contents of buffers, outside the heap. */
  readonly external: number;
}

/** Options of {@link monitorProcess}. */
export interface ProcessMonitorOptions {
  readonly process: MonitoredProcess;
  readonly memoryUse: () => MemoryUse;
  /** Bytes above which the process is killed; `Infinity` for no limit. */
  readonly memoryLimit?: number;
  readonly context: {
    readonly timer: Timer;
    readonly log: DecisionLog;
    readonly metrics: GatewayMetrics;
    readonly memory: HostMemory;
    readonly errors: UncaughtErrors;
  };
}

/**
 * Records errors that nobody handles instead of ending the process, and logs why
 * the process ends: a process without a last line `ended` was killed, or ran out of
 * memory, which a line `memory_high` precedes.
 */
export function monitorProcess(options: ProcessMonitorOptions): void {
  const { process, memoryUse, memoryLimit = Infinity, context } = options;
  const { timer, log, metrics, errors, memory } = context;
  const startedAt = timer.now();
  let loggedAt: Milliseconds = -Infinity;
  process.on(
    "uncaughtException",
    (thrown, origin) => errors.record(thrown, origin),
  );
  process.on("exit", (code) => {
    log.write("ended", {
      code,
      lifetime: Math.round(timer.now() - startedAt),
      uncaughtErrors: errors.count,
    });
  });
  timer.every(CHECK_INTERVAL_MS, () => {
    const { heap, heapLimit, resident, external } = memoryUse();
    const now = timer.now();
    metrics.set("heap_used_bytes", heap);
    metrics.set("heap_limit_bytes", heapLimit);
    metrics.set("resident_bytes", resident);
    metrics.set("external_bytes", external);
    const isHigh = heap >= HIGH_SHARE * heapLimit ||
      resident >= HIGH_SHARE * memoryLimit;
    if (!isHigh || now - loggedAt < LOG_INTERVAL_MS) return;
    loggedAt = now;
    log.write("memory_high", {
      heap,
      heapLimit,
      resident,
      external,
      limit: memoryLimit === Infinity ? undefined : memoryLimit,
      ...Object.fromEntries(
        Object.entries(memory).map(([kind, { used }]) => [kind, used]),
      ),
    });
  });
}
