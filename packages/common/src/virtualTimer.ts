import { Heap } from "./heap.ts";
import type { EpochMilliseconds, Milliseconds } from "./ids.ts";
import { Timer, type TimerSubscription } from "./timer.ts";

interface PendingCall {
  at: Milliseconds;
  order: number;
  isCancelled: boolean;
  callback: () => void;
}

/** Options of a {@link VirtualTimer}. */
export interface VirtualTimerOptions {
  /** The wall clock at virtual time zero. */
  wallOrigin?: EpochMilliseconds;
}

/**
 * Implements a {@link Timer} whose time advances only on request. Calls due at
 * the same time run in order of subscription.
 */
export class VirtualTimer extends Timer {
  #now: Milliseconds = 0;
  #order = 0;
  readonly #wallOrigin: EpochMilliseconds;
  readonly #pending = new Heap<PendingCall>(
    (left, right) =>
      left.at < right.at || (left.at === right.at && left.order < right.order),
  );

  constructor({ wallOrigin = 1_800_000_000_000 }: VirtualTimerOptions = {}) {
    super();
    this.#wallOrigin = wallOrigin;
  }

  override now(): Milliseconds {
    return this.#now;
  }

  override wallNow(): EpochMilliseconds {
    return this.#wallOrigin + this.#now;
  }

  override after(
    delay: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    const call = this.#schedule(this.#now + Math.max(0, delay), callback);
    return { cancel: () => (call.isCancelled = true) };
  }

  override every(
    period: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    let isCancelled = false;
    const run = (): void => {
      if (isCancelled) return;
      this.#schedule(this.#now + period, run);
      callback();
    };
    this.#schedule(this.#now + period, run);
    return { cancel: () => (isCancelled = true) };
  }

  /** Advances time by `span` and runs every call due by then. */
  advance(span: Milliseconds): void {
    this.runUntil(this.#now + span);
  }

  /** Advances time to `end` and runs every call due by then. */
  runUntil(end: Milliseconds): void {
    let next = this.#pending.peek();
    while (next !== undefined && next.at <= end) {
      this.step();
      next = this.#pending.peek();
    }
    this.#now = Math.max(this.#now, end);
  }

  /** Runs the next pending call; returns false if there is none. */
  step(): boolean {
    const call = this.#pending.pop();
    if (call === undefined) return false;
    this.#now = call.at;
    if (!call.isCancelled) call.callback();
    return true;
  }

  #schedule(at: Milliseconds, callback: () => void): PendingCall {
    const call = { at, order: this.#order++, isCancelled: false, callback };
    this.#pending.push(call);
    return call;
  }
}
