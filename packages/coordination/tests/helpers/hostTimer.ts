import {
  type EpochMilliseconds,
  type Milliseconds,
  Timer,
  type TimerSubscription,
  VirtualTimer,
} from "@wasabivane/common";

/** The virtual time that all hosts of a test share. */
export class SharedTimer extends VirtualTimer {}

/**
 * One host's clocks and timers over the shared time. Calls that come due while
 * the process is paused run when it wakes; a killed process runs none.
 */
export class HostTimer extends Timer {
  readonly #world: Timer;
  readonly #skewMs: Milliseconds;
  readonly #due: (() => void)[] = [];
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
    for (const call of this.#due.splice(0)) this.#run(call);
  }

  kill(): void {
    this.#isKilled = true;
  }

  #run(call: () => void): void {
    if (this.#isKilled) return;
    if (this.#isPaused) this.#due.push(call);
    else call();
  }
}
