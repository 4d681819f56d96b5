import type { Milliseconds } from "@wasabivane/common";

/** Time constant of the moving average. */
const TIME_CONSTANT_MS = 2_000;
/** Busy time after which the rate is considered reliable. */
const MINIMUM_BUSY_MS = 1_000;

/**
 * Estimates how fast the wait queue is served, in tokens per millisecond.
 * Periods with an empty queue are ignored, since they do not show the pool's
 * capacity.
 */
export class DrainRate {
  #rate = 0;
  #busyMs = 0;
  #tokens = 0;
  #periodStart: Milliseconds = 0;

  /** Records granted tokens. */
  recordGrant(tokens: number): void {
    this.#tokens += tokens;
  }

  /** Ends a measurement period; must be called with each tick. */
  closePeriod(hasWaiting: boolean, now: Milliseconds): void {
    const elapsed = now - this.#periodStart;
    if (elapsed <= 0) return;
    if (hasWaiting) {
      const weight = 1 - Math.exp(-elapsed / TIME_CONSTANT_MS);
      const sample = this.#tokens / elapsed;
      this.#rate = this.#busyMs === 0
        ? sample
        : this.#rate + weight * (sample - this.#rate);
      this.#busyMs += elapsed;
    }
    this.#tokens = 0;
    this.#periodStart = now;
  }

  /** Returns the time until `tokens` are served; `undefined` while unknown. */
  timeToDrain(tokens: number): Milliseconds | undefined {
    if (this.#busyMs < MINIMUM_BUSY_MS || this.#rate <= 0) return undefined;
    return tokens / this.#rate;
  }
}
