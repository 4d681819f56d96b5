import type { Milliseconds } from "@wasabivane/common";

/**
 * Time for which the fastest message of a sender is remembered. A sender whose
 * clock stood still while it was suspended looks late until then.
 */
const MEMORY_MS: Milliseconds = 15_000;

/**
 * Estimates for one sender how much longer its messages take than the fastest
 * one, which was hardly delayed. Needs no synchronized clocks: on the receiver's
 * clock, the sender's start seems the later the longer a message was in transit.
 */
export class TransitEstimator {
  /** Earliest apparent start in the current and in the previous period. */
  #current: Milliseconds = Infinity;
  #previous: Milliseconds = Infinity;
  #periodEnd: Milliseconds = -Infinity;

  /**
   * Records a message that arrives now from a sender that has run for `age`.
   * Returns its extra time in transit; `undefined` for the first one.
   */
  observe(age: Milliseconds, now: Milliseconds): Milliseconds | undefined {
    this.#forget(now);
    const start = now - age;
    const earliest = Math.min(this.#current, this.#previous);
    this.#current = Math.min(this.#current, start);
    return earliest === Infinity ? undefined : Math.max(0, start - earliest);
  }

  #forget(now: Milliseconds): void {
    if (now < this.#periodEnd) return;
    const isRecent = now < this.#periodEnd + MEMORY_MS;
    this.#previous = isRecent ? this.#current : Infinity;
    this.#current = Infinity;
    this.#periodEnd = now + MEMORY_MS;
  }
}
