import {
  type EpochMilliseconds,
  type Milliseconds,
  Timer,
  type TimerSubscription,
} from "@wasabivane/common";

/**
 * One entry host's process over the time that all share. What reaches a paused
 * process waits and runs when it wakes, the monotonic clock having jumped on; a
 * killed process does nothing more.
 */
export class ScenarioProcess extends Timer {
  readonly #world: Timer;
  readonly #skewMs: Milliseconds;
  readonly #held: (() => void)[] = [];
  #isPaused = false;
  #isKilled = false;

  constructor(
    world: Timer,
    { skewMs = 0 }: { skewMs?: Milliseconds | undefined } = {},
  ) {
    super();
    this.#world = world;
    this.#skewMs = skewMs;
  }

  get isKilled(): boolean {
    return this.#isKilled;
  }

  override now(): Milliseconds {
    return this.#world.now();
  }

  override wallNow(): EpochMilliseconds {
    return this.#world.wallNow() + this.#skewMs;
  }

  override after(delay: Milliseconds, callback: () => void): TimerSubscription {
    let isCancelled = false;
    const due = (): void => {
      if (!isCancelled) callback();
    };
    const subscription = this.#world.after(delay, () => {
      if (!isCancelled) this.run(due);
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

  /** Lets something from outside reach the process, as soon as it runs. */
  run(callback: () => void): void {
    if (this.#isKilled) return;
    if (this.#isPaused) this.#held.push(callback);
    else callback();
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    for (const callback of this.#held.splice(0)) this.run(callback);
  }

  kill(): void {
    this.#isKilled = true;
    this.#held.length = 0;
  }
}
