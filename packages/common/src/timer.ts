import type { EpochMilliseconds, Milliseconds } from "./ids.ts";

/** A pending call of a {@link Timer}; `cancel` is idempotent. */
export interface TimerSubscription {
  cancel(): void;
}

/** Provides clocks and timers, so that tests can run in virtual time. */
export abstract class Timer {
  /** Returns monotonic time since an arbitrary origin. */
  abstract now(): Milliseconds;
  /** Returns wall-clock time, which may differ between hosts. */
  abstract wallNow(): EpochMilliseconds;
  /** Calls back once after `delay`. */
  abstract after(delay: Milliseconds, callback: () => void): TimerSubscription;
  /** Calls back every `period`, first after one period. */
  abstract every(period: Milliseconds, callback: () => void): TimerSubscription;
}

/** Resolves after `delay` on the given timer. */
export function sleep(timer: Timer, delay: Milliseconds): Promise<void> {
  return new Promise((resolve) => timer.after(delay, resolve));
}
