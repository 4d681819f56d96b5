import type { Milliseconds, Timer } from "@wasabivane/common";
import type { DecisionLog } from "./decisionLog.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";
import type { UncaughtErrors } from "./uncaughtErrors.ts";

const CHECK_INTERVAL_MS: Milliseconds = 1_000;
const LOG_INTERVAL_MS: Milliseconds = 10_000;
/** Share of the heap's limit from which its use is logged. */
const HIGH_HEAP_SHARE = 0.85;

/** The events of the runtime's process that are listened to. */
export interface MonitoredProcess {
  on(
    event: "uncaughtException",
    listener: (thrown: unknown, origin: string) => void,
  ): unknown;
  on(event: "exit", listener: (code: number) => void): unknown;
}

/** Use of the runtime's heap, in bytes. */
export interface HeapUse {
  readonly used: number;
  readonly limit: number;
}

/** Options of {@link monitorProcess}. */
export interface ProcessMonitorOptions {
  readonly process: MonitoredProcess;
  readonly heapUse: () => HeapUse;
  readonly context: {
    readonly timer: Timer;
    readonly log: DecisionLog;
    readonly metrics: GatewayMetrics;
    readonly errors: UncaughtErrors;
  };
}

/**
 * Records errors that nobody handles instead of ending the process, and logs why
 * the process ends: a process without a last line `ended` was killed, or ran out of
 * memory, which a line `memory_high` precedes.
 */
export function monitorProcess(options: ProcessMonitorOptions): void {
  const { process, heapUse, context: { timer, log, metrics, errors } } =
    options;
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
    const { used, limit } = heapUse();
    const now = timer.now();
    metrics.set("heap_used_bytes", used);
    metrics.set("heap_limit_bytes", limit);
    const isHigh = used >= HIGH_HEAP_SHARE * limit;
    if (!isHigh || now - loggedAt < LOG_INTERVAL_MS) return;
    loggedAt = now;
    log.write("memory_high", { used, limit });
  });
}
