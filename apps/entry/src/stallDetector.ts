import {
  Controller,
  type Milliseconds,
  type Timer,
  type TimerSubscription,
} from "@wasabivane/common";

const TICK_MS: Milliseconds = 100;
/** Ticks later than this mean that the process did not run. */
const STALL_MS: Milliseconds = 1_000;
/** Requests that came in during a stall have been read within this time after it. */
const CATCH_UP_MS: Milliseconds = 2_000;

/**
 * Knows how long a request that is read now may have lain unread.
 *
 * A process that was paused reads, when it wakes, what its callers sent long
 * ago. Such a caller may have been told "not run" through another host
 * meanwhile; taken for fresh, its old request would run after all. The bound is
 * enough because whatever arrived before the stall was read before it.
 */
export class StallDetector extends Controller {
  readonly #timer: Timer;
  #lastTick: Milliseconds;
  #stall: { since: Milliseconds; until: Milliseconds } | undefined;
  #ticking: TimerSubscription | undefined;

  constructor({ timer }: { timer: Timer }) {
    super();
    this.#timer = timer;
    this.#lastTick = timer.now();
  }

  override start(): void {
    this.#lastTick = this.#timer.now();
    this.#ticking = this.#timer.every(TICK_MS, () => this.#tick());
  }

  override stop(): void {
    this.#ticking?.cancel();
  }

  /** The earliest moment at which a request that is read now can have arrived. */
  earliestArrival(): Milliseconds {
    const now = this.#timer.now();
    const isCatchingUp = this.#stall !== undefined &&
      now - this.#stall.until < CATCH_UP_MS;
    return isCatchingUp ? this.#stall!.since : this.#lastTick;
  }

  #tick(): void {
    const now = this.#timer.now();
    if (now - this.#lastTick > STALL_MS) {
      this.#stall = { since: this.#lastTick, until: now };
    }
    this.#lastTick = now;
  }
}
