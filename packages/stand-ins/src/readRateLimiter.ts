import type { Milliseconds, Timer } from "@wasabivane/common";

const SECOND_MS = 1_000;

/** Token bucket shared by all readers, with a burst of one second's reads. */
export class ReadRateLimiter {
  readonly #timer: Timer;
  readonly #readsPerSecond: number;
  #availableReads: number;
  #refilledAt: Milliseconds;

  constructor(timer: Timer, readsPerSecond: number) {
    this.#timer = timer;
    this.#readsPerSecond = readsPerSecond;
    this.#availableReads = readsPerSecond;
    this.#refilledAt = timer.now();
  }

  /** Acquires one read; returns false if the limit is exceeded. */
  tryAcquire(): boolean {
    const now = this.#timer.now();
    const refill = (now - this.#refilledAt) * this.#readsPerSecond / SECOND_MS;
    this.#availableReads = Math.min(
      this.#readsPerSecond,
      this.#availableReads + refill,
    );
    this.#refilledAt = now;
    if (this.#availableReads < 1) return false;
    this.#availableReads--;
    return true;
  }
}
