import type { EpochMilliseconds, Milliseconds } from "./ids.ts";
import type { Timer } from "./timer.ts";

/** Wall time may run ahead of the monotonic clock by so much before it counts. */
const STEP_MS: Milliseconds = 500;

/**
 * A monotonic clock that also counts time in which the machine was suspended.
 * The kernel's clock stands still then, and leases would look valid to a host
 * that slept for an hour. A wall clock that is set forward ends leases early,
 * which is harmless.
 */
export class ElapsedClock {
  readonly #timer: Timer;
  #lastNow: Milliseconds;
  #lastWall: EpochMilliseconds;
  #suspended: Milliseconds = 0;

  constructor(timer: Timer) {
    this.#timer = timer;
    this.#lastNow = timer.now();
    this.#lastWall = timer.wallNow();
  }

  now(): Milliseconds {
    const now = this.#timer.now();
    const wall = this.#timer.wallNow();
    const ahead = (wall - this.#lastWall) - (now - this.#lastNow);
    if (ahead > STEP_MS) this.#suspended += ahead;
    if (Math.abs(ahead) > STEP_MS) {
      this.#lastNow = now;
      this.#lastWall = wall;
    }
    return now + this.#suspended;
  }
}
