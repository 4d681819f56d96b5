import {
  type EpochMilliseconds,
  type Milliseconds,
  Timer,
  type TimerSubscription,
} from "@wasabivane/common";

/** Timer whose callbacks wait while its process is paused, as under SIGSTOP. */
export class PausableTimer extends Timer {
  readonly #timer: Timer;
  readonly #process: () => { readonly isPaused: boolean } | undefined;

  constructor(
    timer: Timer,
    process: () => { readonly isPaused: boolean } | undefined,
  ) {
    super();
    this.#timer = timer;
    this.#process = process;
  }

  override now(): Milliseconds {
    return this.#timer.now();
  }

  override wallNow(): EpochMilliseconds {
    return this.#timer.wallNow();
  }

  override after(delay: Milliseconds, callback: () => void): TimerSubscription {
    let subscription = this.#timer.after(delay, run);
    const isPaused = (): boolean => this.#process()?.isPaused === true;
    const timer = this.#timer;
    function run(): void {
      if (isPaused()) subscription = timer.after(1, run);
      else callback();
    }
    return { cancel: () => subscription.cancel() };
  }

  override every(
    period: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    return this.#timer.every(period, () => {
      if (this.#process()?.isPaused !== true) callback();
    });
  }
}
