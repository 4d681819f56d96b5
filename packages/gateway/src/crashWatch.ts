import type {
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import type { UpstreamState } from "./upstreamProbe.ts";

/** Options of a {@link CrashWatch}. */
export interface CrashWatchOptions {
  readonly timer: Timer;
  readonly probe: () => Promise<UpstreamState>;
  /** Called after each look; the watch goes on until it is ended. */
  readonly onLook: (state: UpstreamState) => void;
  /** Called when no further look is due. */
  readonly onExpiry: () => void;
}

/** Looks at an upstream again and again, at set times after a sign of a crash. */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  #dueTimes: Milliseconds[] = [];
  #expiresAt: Milliseconds = -Infinity;
  #settlesAt: Milliseconds = -Infinity;
  #pending: TimerSubscription | undefined;
  #isLooking = false;
  #isEnded = false;
  #callbacks: (() => void)[] = [];

  constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  /**
   * Schedules looks after these delays in place of those that are due. Callers of
   * {@link whenSettled} wait for a look after `settling`.
   */
  schedule(
    delays: readonly Milliseconds[],
    { settling, lifetime }: {
      settling: Milliseconds;
      lifetime: Milliseconds;
    },
  ): void {
    const now = this.#options.timer.now();
    this.#dueTimes = delays.map((delay) => now + delay);
    this.#settlesAt = now + settling;
    this.#expiresAt = now + lifetime;
    this.#proceed();
  }

  /** Keeps the watch for this time, with the looks that are due. */
  extend(lifetime: Milliseconds): void {
    const now = this.#options.timer.now();
    this.#expiresAt = Math.max(this.#expiresAt, now + lifetime);
    this.#proceed();
  }

  /** Whether a look is due within this time. */
  isDueWithin(span: Milliseconds): boolean {
    const [next] = this.#dueTimes;
    return next !== undefined && next - this.#options.timer.now() <= span;
  }

  /** Adds a look before those that are due. */
  addLook(delay: Milliseconds): void {
    this.#dueTimes.unshift(this.#options.timer.now() + delay);
    this.#proceed();
  }

  /** Calls back after a look that shows more than a moment's state, or the end. */
  whenSettled(callback: () => void): void {
    if (this.#options.timer.now() > this.#settlesAt) callback();
    else this.#callbacks.push(callback);
  }

  /** Ends the watch; looks that are under way are ignored. */
  end(): void {
    this.#isEnded = true;
    this.#pending?.cancel();
    this.#flush();
  }

  #proceed(): void {
    this.#pending?.cancel();
    if (this.#isLooking || this.#isEnded) return;
    const { timer } = this.#options;
    const at = this.#dueTimes[0] ?? this.#expiresAt;
    const delay = at - timer.now();
    if (delay > 0) {
      this.#pending = timer.after(delay, () => this.#proceed());
    } else if (this.#dueTimes.length > 0) void this.#look();
    else this.#options.onExpiry();
  }

  async #look(): Promise<void> {
    this.#isLooking = true;
    const startedAt = this.#options.timer.now();
    this.#dueTimes.shift();
    try {
      const state = await this.#options.probe();
      this.#isLooking = false;
      if (!this.#isEnded) this.#options.onLook(state);
      if (!this.#isEnded && startedAt >= this.#settlesAt) this.#flush();
    } finally {
      this.#isLooking = false;
      this.#proceed();
    }
  }

  #flush(): void {
    for (const callback of this.#callbacks.splice(0)) callback();
  }
}
