import {
  type EpochMilliseconds,
  type Milliseconds,
  Timer,
  type TimerSubscription,
} from "@wasabivane/common";

/**
 * Timer of a simulated entry host process on the shared clock. Callbacks of a
 * paused process are deferred until it resumes; those of a killed one are
 * dropped.
 */
export class ScenarioProcess extends Timer {
  readonly #sharedTimer: Timer;
  readonly #skewMs: Milliseconds;
  readonly #deferred: (() => void)[] = [];
  #isPaused = false;
  #isKilled = false;

  constructor(
    sharedTimer: Timer,
    { skewMs = 0 }: { skewMs?: Milliseconds | undefined } = {},
  ) {
    super();
    this.#sharedTimer = sharedTimer;
    this.#skewMs = skewMs;
  }

  get isKilled(): boolean {
    return this.#isKilled;
  }

  override now(): Milliseconds {
    return this.#sharedTimer.now();
  }

  override wallNow(): EpochMilliseconds {
    return this.#sharedTimer.wallNow() + this.#skewMs;
  }

  override after(delay: Milliseconds, callback: () => void): TimerSubscription {
    let isCancelled = false;
    const runUnlessCancelled = (): void => {
      if (!isCancelled) callback();
    };
    const subscription = this.#sharedTimer.after(delay, () => {
      if (!isCancelled) this.run(runUnlessCancelled);
    });
    return {
      cancel: (): void => {
        isCancelled = true;
        subscription.cancel();
      },
    };
  }

  override every(
    period: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    let subscription: TimerSubscription;
    let isCancelled = false;
    const run = (): void => {
      callback();
      if (!isCancelled) subscription = this.after(period, run);
    };
    subscription = this.after(period, run);
    return {
      cancel: (): void => {
        isCancelled = true;
        subscription.cancel();
      },
    };
  }

  /** Runs a callback in the process, deferred while the process is paused. */
  run(callback: () => void): void {
    if (this.#isKilled) return;
    if (this.#isPaused) this.#deferred.push(callback);
    else callback();
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    for (const callback of this.#deferred.splice(0)) this.run(callback);
  }

  kill(): void {
    this.#isKilled = true;
    this.#deferred.length = 0;
  }
}
