import type { EpochMilliseconds, Milliseconds } from "./ids.ts";

/** A pending call of a {@link Timer}; cancelling it twice is harmless. */
export interface TimerSubscription {
  cancel(): void;
}

/**
 * The only source of time. Parts subscribe to it, so that tests and
 * experiments run the same code in virtual time.
 */
export abstract class Timer {
  /** Monotonic milliseconds since an arbitrary origin. */
  abstract now(): Milliseconds;
  /** The host's wall clock; it may be skewed against other hosts. */
  abstract wallNow(): EpochMilliseconds;
  /** Calls back once, `delay` milliseconds from now. */
  abstract after(delay: Milliseconds, callback: () => void): TimerSubscription;
  /** Calls back every `period` milliseconds, first after one period. */
  abstract every(period: Milliseconds, callback: () => void): TimerSubscription;
}

/** Resolves after `delay` milliseconds of the given timer. */
export function sleep(timer: Timer, delay: Milliseconds): Promise<void> {
  return new Promise((resolve) => timer.after(delay, resolve));
}
