import {
  type EpochMilliseconds,
  type Milliseconds,
  Timer,
  type TimerSubscription,
  VirtualTimer,
} from "@wasabivane/common";

/** Virtual time shared by all hosts of a test. */
export class SharedTimer extends VirtualTimer {}

/**
 * Provides the clocks and timers of one host. Callbacks due during a pause run
 * on resuming; a killed host runs none.
 */
export class HostTimer extends Timer {
  readonly #world: Timer;
  readonly #skewMs: Milliseconds;
  readonly #deferred: (() => void)[] = [];
  #isPaused = false;
  #isKilled = false;

  constructor(
    world: Timer,
    { skewMs = 0 }: { skewMs?: Milliseconds } = {},
  ) {
    super();
    this.#world = world;
    this.#skewMs = skewMs;
  }

  override now(): Milliseconds {
    return this.#world.now();
  }

  override wallNow(): EpochMilliseconds {
    return this.#world.wallNow() + this.#skewMs;
  }

  override after(
    delay: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    let isCancelled = false;
    this.#world.after(delay, () =>
      this.#run(() => {
        if (!isCancelled) callback();
      }));
    return { cancel: () => (isCancelled = true) };
  }

  override every(
    period: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    let isCancelled = false;
    const run = (): void => {
      if (isCancelled) return;
      this.after(period, run);
      callback();
    };
    this.after(period, run);
    return { cancel: () => (isCancelled = true) };
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    for (const call of this.#deferred.splice(0)) this.#run(call);
  }

  kill(): void {
    this.#isKilled = true;
  }

  #run(call: () => void): void {
    if (this.#isKilled) return;
    if (this.#isPaused) this.#deferred.push(call);
    else call();
  }
}
