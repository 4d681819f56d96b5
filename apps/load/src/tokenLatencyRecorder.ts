import type { Milliseconds, Timer } from "@wasabivane/common";

/** How long a caller waited for one token. */
export interface TokenLatency {
  readonly isFirst: boolean;
  readonly ms: Milliseconds;
}

/** Called for each token that arrived for the first time. */
export type TokenLatencyListener = (time: TokenLatency) => void;

/** Measures one call's tokens; what a resend repeats is not measured again. */
export class TokenLatencyRecorder {
  readonly #timer: Timer;
  readonly #listener: TokenLatencyListener;
  #seen = 0;
  #lastAt: Milliseconds;

  constructor(timer: Timer, listener: TokenLatencyListener) {
    this.#timer = timer;
    this.#listener = listener;
    this.#lastAt = timer.now();
  }

  /** Starts an attempt; call what it returns for each of its tokens. */
  startAttempt(): () => void {
    let position = 0;
    return () => {
      if (++position <= this.#seen) return;
      const now = this.#timer.now();
      this.#listener({ isFirst: this.#seen === 0, ms: now - this.#lastAt });
      this.#seen = position;
      this.#lastAt = now;
    };
  }
}
