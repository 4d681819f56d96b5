import type { EpochMilliseconds, Milliseconds } from "./ids.ts";
import type { Timer } from "./timer.ts";

/** Smaller differences between the clocks are ordinary clock adjustment. */
const SUSPEND_THRESHOLD_MS: Milliseconds = 500;

/**
 * Measures monotonic time including the time that the machine was suspended,
 * which the kernel's monotonic clock leaves out. Without it, expired leases
 * would look valid after a resume. A wall clock that is set forward only ends
 * leases early.
 */
export class ElapsedClock {
  readonly #timer: Timer;
  #referenceNow: Milliseconds;
  #referenceWall: EpochMilliseconds;
  #suspended: Milliseconds = 0;

  constructor(timer: Timer) {
    this.#timer = timer;
    this.#referenceNow = timer.now();
    this.#referenceWall = timer.wallNow();
  }

  now(): Milliseconds {
    const now = this.#timer.now();
    const wall = this.#timer.wallNow();
    const drift = (wall - this.#referenceWall) - (now - this.#referenceNow);
    if (drift > SUSPEND_THRESHOLD_MS) this.#suspended += drift;
    if (Math.abs(drift) > SUSPEND_THRESHOLD_MS) {
      this.#referenceNow = now;
      this.#referenceWall = wall;
    }
    return now + this.#suspended;
  }
}
