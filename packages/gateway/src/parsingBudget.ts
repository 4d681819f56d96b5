import type { Milliseconds, Timer } from "@wasabivane/common";

/** Share of one core. */
const SHARE = 0.05;
/** Processor time that may be spent at once. */
const BURST_MS: Milliseconds = 100;
/** Processor time that is owed at most, so that the wait for it ends in seconds. */
const MAXIMUM_DEBT_MS: Milliseconds = 3 * BURST_MS;
/** Time for a connection that goes on to be read. */
const MINIMUM_WAIT_MS: Milliseconds = 5;

/**
 * Bounds the processor time that a process spends on input in tiny pieces, from
 * all connections together. Those that cost too much wait in line to be read on.
 */
export class ParsingBudget {
  readonly #timer: Timer;
  readonly #waiting = new Set<() => void>();
  #debt: Milliseconds = 0;
  #updatedAt: Milliseconds;
  #isScheduled = false;

  constructor(timer: Timer) {
    this.#timer = timer;
    this.#updatedAt = timer.now();
  }

  /** Whether more was spent than is allowed by now. */
  get isOverdrawn(): boolean {
    return this.#update() > BURST_MS;
  }

  /** Records processor time, as it is estimated. */
  spend(time: Milliseconds): void {
    this.#debt = Math.min(MAXIMUM_DEBT_MS, this.#update() + time);
  }

  /** Calls back in turn, once there is time again; returns how to cancel. */
  wait(callback: () => void): () => void {
    this.#waiting.add(callback);
    this.#schedule();
    return () => void this.#waiting.delete(callback);
  }

  #update(): Milliseconds {
    const now = this.#timer.now();
    this.#debt = Math.max(0, this.#debt - SHARE * (now - this.#updatedAt));
    this.#updatedAt = now;
    return this.#debt;
  }

  #schedule(): void {
    if (this.#isScheduled || this.#waiting.size === 0) return;
    this.#isScheduled = true;
    const delay = (this.#update() - BURST_MS) / SHARE;
    this.#timer.after(Math.max(MINIMUM_WAIT_MS, delay), () => {
      this.#isScheduled = false;
      if (!this.isOverdrawn) this.#callNext();
      this.#schedule();
    });
  }

  #callNext(): void {
    const [next] = this.#waiting;
    if (next === undefined) return;
    this.#waiting.delete(next);
    next();
  }
}
