import type { Milliseconds } from "@wasabivane/common";

/** Time over which the rate is averaged: long against bursts of grants, short against a slowdown. */
const AVERAGING_MS = 2_000;
/** Busy time after which the rate can be relied on. */
const RELIABLE_AFTER_MS = 1_000;

/**
 * How fast a waiting queue is served, in tokens per millisecond, seen only while
 * something waits: what an idle pool is sent says nothing of what it could do.
 */
export class DrainRate {
  #rate = 0;
  #busyMs = 0;
  #tokens = 0;
  #since: Milliseconds = 0;

  /** Tokens that were granted. */
  recordGrant(tokens: number): void {
    this.#tokens += tokens;
  }

  /** Closes a period; call it with each tick. */
  closePeriod(isQueueWaiting: boolean, now: Milliseconds): void {
    const elapsed = now - this.#since;
    if (elapsed <= 0) return;
    if (isQueueWaiting) {
      const gain = 1 - Math.exp(-elapsed / AVERAGING_MS);
      const sample = this.#tokens / elapsed;
      this.#rate = this.#busyMs === 0
        ? sample
        : this.#rate + gain * (sample - this.#rate);
      this.#busyMs += elapsed;
    }
    this.#tokens = 0;
    this.#since = now;
  }

  /** Time until so many tokens have been served; `undefined` while unknown. */
  timeToDrain(tokens: number): Milliseconds | undefined {
    if (this.#busyMs < RELIABLE_AFTER_MS || this.#rate <= 0) return undefined;
    return tokens / this.#rate;
  }
}
