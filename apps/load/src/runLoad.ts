import {
  type Milliseconds,
  type Random,
  sleep,
  SystemRandom,
  SystemTimer,
  type Timer,
} from "@wasabivane/common";
import { Agent } from "undici";
import { type CallOutcome, sendAttempt } from "./sendAttempt.ts";
import { type CallTargets, createCallRequest } from "./callRequest.ts";
import { type LoadReport, TierStats } from "./loadReport.ts";
import { planCalls, type PlannedCall, type PlanOptions } from "./planCalls.ts";
import { TokenLatencyRecorder } from "./tokenLatencyRecorder.ts";
import { uuidV7 } from "./uuidV7.ts";

/** Number of planned, sent and ended calls. */
export interface LoadProgress {
  readonly planned: number;
  readonly sent: number;
  readonly ended: number;
}

/** A call with its outcome after all resends. */
export interface EndedCall {
  readonly call: PlannedCall;
  readonly idempotencyKey: string;
  readonly outcome: CallOutcome;
}

/** Options of {@link runLoad}. */
export interface LoadOptions extends PlanOptions {
  /** Base URLs of the entries, used in round-robin order. */
  readonly entries: readonly string[];
  readonly targets: CallTargets;
  /** Deadline of each call; defaults to that of its tier. */
  readonly deadlineMs?: Milliseconds | undefined;
  /** Resends per call after broken connections, each through the next entry. */
  readonly maximumResends?: number;
  /** Idle time after which a connection is closed. */
  readonly idleTimeoutMs?: Milliseconds;
  readonly timer?: Timer;
  readonly random?: Random;
  /** Called after each ended call. */
  readonly onProgress?: ((progress: LoadProgress) => void) | undefined;
  /** Called once per call. */
  readonly onEnd?: ((ended: EndedCall) => void) | undefined;
}

const RESEND_DELAY_MS = 100;

/**
 * Sends a load pattern to running entries and reports what the callers
 * received.
 */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const idleTimeoutMs = options.idleTimeoutMs ?? 120_000;
  const dispatcher = new Agent({
    headersTimeout: idleTimeoutMs,
    bodyTimeout: idleTimeoutMs,
  });
  try {
    return await new LoadRun(options, dispatcher).run();
  } finally {
    await dispatcher.destroy();
  }
}

class LoadRun {
  readonly #options: LoadOptions;
  readonly #dispatcher: Agent;
  readonly #timer: Timer;
  readonly #random: Random;
  readonly #calls: PlannedCall[];
  readonly #statsByTier = new Map<number, TierStats>();
  #sent = 0;
  #ended = 0;
  #resends = 0;
  #nextEntryIndex = 0;

  constructor(options: LoadOptions, dispatcher: Agent) {
    this.#options = options;
    this.#dispatcher = dispatcher;
    this.#timer = options.timer ?? new SystemTimer();
    this.#random = options.random ?? new SystemRandom();
    this.#calls = planCalls(options);
  }

  async run(): Promise<LoadReport> {
    const startedAt = this.#timer.now();
    await Promise.all(this.#calls.map((call) => this.#runCall(call)));
    const tiers = [...this.#statsByTier].sort(([left], [right]) =>
      left - right
    );
    return {
      pattern: this.#options.pattern,
      seed: this.#options.seed,
      elapsedMs: this.#timer.now() - startedAt,
      offered: this.#calls.length,
      resends: this.#resends,
      tiers: Object.fromEntries(
        tiers.map(([tier, stats]) => [tier, stats.createReport()]),
      ),
    };
  }

  async #runCall(call: PlannedCall): Promise<void> {
    await sleep(this.#timer, call.arrivalOffset);
    const stats = this.#statsOf(call);
    const startedAt = this.#timer.now();
    this.#sent++;
    stats.offered++;
    const outcome = await this.#sendUntilEnded(call, stats);
    stats.recordOutcome(outcome, this.#timer.now() - startedAt);
    this.#ended++;
    this.#reportProgress();
  }

  /**
   * Resends under the same idempotency key, so that entries can deduplicate the
   * call.
   */
  async #sendUntilEnded(
    call: PlannedCall,
    stats: TierStats,
  ): Promise<CallOutcome> {
    const { entries, targets, seed, maximumResends = 3 } = this.#options;
    const firstEntryIndex = this.#nextEntryIndex++;
    const request = createCallRequest(call, { targets, seed });
    const headers = this.#createHeaders(call);
    const recorder = new TokenLatencyRecorder(
      this.#timer,
      (latency) => stats.recordTokenLatency(latency),
    );
    for (let resend = 0;; resend++) {
      const outcome = await sendAttempt({
        entry: entries[(firstEntryIndex + resend) % entries.length]!,
        call,
        request,
        headers,
        dispatcher: this.#dispatcher,
        onToken: recorder.startAttempt(),
      });
      if (outcome.kind !== "broken" || resend === maximumResends) {
        const idempotencyKey = headers["idempotency-key"]!;
        this.#options.onEnd?.({ call, idempotencyKey, outcome });
        return outcome;
      }
      this.#resends++;
      await sleep(this.#timer, RESEND_DELAY_MS);
    }
  }

  #createHeaders(call: PlannedCall): Record<string, string> {
    const { deadlineMs } = this.#options;
    return {
      "authorization": `Bearer ${call.caller.apiKey}`,
      "idempotency-key": uuidV7(this.#timer.wallNow(), this.#random),
      "x-tier": String(call.tier),
      ...(deadlineMs === undefined
        ? {}
        : { "x-deadline-ms": String(deadlineMs) }),
    };
  }

  #statsOf({ tier }: PlannedCall): TierStats {
    const stats = this.#statsByTier.get(tier) ?? new TierStats();
    this.#statsByTier.set(tier, stats);
    return stats;
  }

  #reportProgress(): void {
    this.#options.onProgress?.({
      planned: this.#calls.length,
      sent: this.#sent,
      ended: this.#ended,
    });
  }
}
