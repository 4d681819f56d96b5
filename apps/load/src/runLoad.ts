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

/** How far a run is. */
export interface LoadProgress {
  readonly planned: number;
  readonly sent: number;
  readonly ended: number;
}

/** How one call ended, after all its resends. */
export interface EndedCall {
  readonly call: PlannedCall;
  readonly idempotencyKey: string;
  readonly outcome: CallOutcome;
}

/** Options of {@link runLoad}. */
export interface LoadOptions extends PlanOptions {
  /** Base urls of the entries, which take turns as behind a balancer. */
  readonly entries: readonly string[];
  readonly targets: CallTargets;
  /** Deadline that callers set; the tier's own when left out. */
  readonly deadlineMs?: Milliseconds | undefined;
  /** Resends of one call after broken connections, each through the next entry. */
  readonly maximumResends?: number;
  /** Silence after which a caller gives a connection up. */
  readonly idleTimeoutMs?: Milliseconds;
  readonly timer?: Timer;
  readonly random?: Random;
  /** Called after each change. */
  readonly onProgress?: ((progress: LoadProgress) => void) | undefined;
  /** Called once for each call. */
  readonly onEnd?: ((ended: EndedCall) => void) | undefined;
}

const RESEND_DELAY_MS = 100;

/** Sends a pattern of load to running entries and says what the callers received. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const silenceMs = options.idleTimeoutMs ?? 120_000;
  const dispatcher = new Agent({
    headersTimeout: silenceMs,
    bodyTimeout: silenceMs,
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
  readonly #tallies = new Map<number, TierStats>();
  #sent = 0;
  #ended = 0;
  #resends = 0;
  #turn = 0;

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
    const tallies = [...this.#tallies].sort(([left], [right]) => left - right);
    return {
      pattern: this.#options.pattern,
      seed: this.#options.seed,
      elapsedMs: this.#timer.now() - startedAt,
      offered: this.#calls.length,
      resends: this.#resends,
      tiers: Object.fromEntries(
        tallies.map(([tier, tally]) => [tier, tally.createReport()]),
      ),
    };
  }

  async #runCall(call: PlannedCall): Promise<void> {
    await sleep(this.#timer, call.arrivalOffset);
    const tally = this.#tallyOf(call);
    const startedAt = this.#timer.now();
    this.#sent++;
    tally.offered++;
    const ending = await this.#sendUntilEnded(call, tally);
    tally.recordOutcome(ending, this.#timer.now() - startedAt);
    this.#ended++;
    this.#tellProgress();
  }

  /** Resends under the same key, so that a resend joins what is running. */
  async #sendUntilEnded(
    call: PlannedCall,
    tally: TierStats,
  ): Promise<CallOutcome> {
    const { entries, targets, seed, maximumResends = 3 } = this.#options;
    const turn = this.#turn++;
    const body = createCallRequest(call, { targets, seed });
    const headers = this.#headersOf(call);
    const clock = new TokenLatencyRecorder(
      this.#timer,
      (time) => tally.recordTokenLatency(time),
    );
    for (let resend = 0;; resend++) {
      const ending = await sendAttempt({
        entry: entries[(turn + resend) % entries.length]!,
        call,
        request: body,
        headers,
        dispatcher: this.#dispatcher,
        onToken: clock.startAttempt(),
      });
      if (ending.kind !== "broken" || resend === maximumResends) {
        const key = headers["idempotency-key"]!;
        this.#options.onEnd?.({ call, idempotencyKey: key, outcome: ending });
        return ending;
      }
      this.#resends++;
      await sleep(this.#timer, RESEND_DELAY_MS);
    }
  }

  #headersOf(call: PlannedCall): Record<string, string> {
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

  #tallyOf({ tier }: PlannedCall): TierStats {
    const tally = this.#tallies.get(tier) ?? new TierStats();
    this.#tallies.set(tier, tally);
    return tally;
  }

  #tellProgress(): void {
    this.#options.onProgress?.({
      planned: this.#calls.length,
      sent: this.#sent,
      ended: this.#ended,
    });
  }
}
