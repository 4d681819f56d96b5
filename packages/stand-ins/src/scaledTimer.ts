import {
  type EpochMilliseconds,
  type Milliseconds,
  Timer,
  type TimerSubscription,
} from "@wasabivane/common";

/** Timer `scale` times as fast as another; the wall clock is not scaled. */
export class ScaledTimer extends Timer {
  readonly #base: Timer;
  readonly #scale: number;

  constructor(base: Timer, scale: number) {
    super();
    this.#base = base;
    this.#scale = scale;
  }

  override now(): Milliseconds {
    return this.#base.now() * this.#scale;
  }

  override wallNow(): EpochMilliseconds {
    return this.#base.wallNow();
  }

  override after(
    delay: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    return this.#base.after(delay / this.#scale, callback);
  }

  override every(
    period: Milliseconds,
    callback: () => void,
  ): TimerSubscription {
    return this.#base.every(period / this.#scale, callback);
  }
}
