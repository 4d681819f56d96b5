import {
  Controller,
  type Milliseconds,
  type Timer,
  type TimerSubscription,
} from "@wasabivane/common";

const TICK_PERIOD_MS: Milliseconds = 100;
/** A longer time between ticks means that the process was paused. */
const STALL_THRESHOLD_MS: Milliseconds = 1_000;
/** Time after a stall in which all requests received during it are read. */
const CATCH_UP_MS: Milliseconds = 2_000;

/**
 * Detects pauses of the process, after which requests are read that arrived
 * long ago. Their age matters because another host may have reported such a
 * request as "not run" in the meantime.
 */
export class StallDetector extends Controller {
  readonly #timer: Timer;
  #lastTick: Milliseconds;
  #stall: { since: Milliseconds; until: Milliseconds } | undefined;
  #tickTimer: TimerSubscription | undefined;

  constructor({ timer }: { timer: Timer }) {
    super();
    this.#timer = timer;
    this.#lastTick = timer.now();
  }

  override start(): void {
    this.#lastTick = this.#timer.now();
    this.#tickTimer = this.#timer.every(TICK_PERIOD_MS, () => this.#tick());
  }

  override stop(): void {
    this.#tickTimer?.cancel();
  }

  /** Returns the earliest time at which a request read now can have arrived. */
  earliestArrival(): Milliseconds {
    const now = this.#timer.now();
    const isCatchingUp = this.#stall !== undefined &&
      now - this.#stall.until < CATCH_UP_MS;
    return isCatchingUp ? this.#stall!.since : this.#lastTick;
  }

  #tick(): void {
    const now = this.#timer.now();
    if (now - this.#lastTick > STALL_THRESHOLD_MS) {
      this.#stall = { since: this.#lastTick, until: now };
    }
    this.#lastTick = now;
  }
}
