import type { Milliseconds, Timer } from "@wasabivane/common";

const SECOND = 1_000;

/** Reads that all readers together may make; a second's worth may come at once. */
export class ReadRateLimiter {
  readonly #timer: Timer;
  readonly #readsPerSecond: number;
  #left: number;
  #refilledAt: Milliseconds;

  constructor(timer: Timer, readsPerSecond: number) {
    this.#timer = timer;
    this.#readsPerSecond = readsPerSecond;
    this.#left = readsPerSecond;
    this.#refilledAt = timer.now();
  }

  /** False when the budget is used up. */
  tryAcquire(): boolean {
    const now = this.#timer.now();
    const refill = (now - this.#refilledAt) * this.#readsPerSecond / SECOND;
    this.#left = Math.min(this.#readsPerSecond, this.#left + refill);
    this.#refilledAt = now;
    if (this.#left < 1) return false;
    this.#left--;
    return true;
  }
}
