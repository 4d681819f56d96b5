import type { Milliseconds, Timer } from "@wasabivane/common";

/**
 * Time that a caller waited for one token, since the token before or the start
 * of the call.
 */
export interface TokenLatency {
  readonly isFirst: boolean;
  readonly ms: Milliseconds;
}

/** Called for each token, but not for tokens that a resend repeats. */
export type TokenLatencyListener = (latency: TokenLatency) => void;

/**
 * Measures the token latencies of one call; skips tokens that a resend repeats.
 */
export class TokenLatencyRecorder {
  readonly #timer: Timer;
  readonly #listener: TokenLatencyListener;
  #tokenCount = 0;
  #lastTokenAt: Milliseconds;

  constructor(timer: Timer, listener: TokenLatencyListener) {
    this.#timer = timer;
    this.#listener = listener;
    this.#lastTokenAt = timer.now();
  }

  /**
   * Starts an attempt and returns the callback to call for each of its tokens.
   */
  startAttempt(): () => void {
    let position = 0;
    return () => {
      if (++position <= this.#tokenCount) return;
      const now = this.#timer.now();
      this.#listener({
        isFirst: this.#tokenCount === 0,
        ms: now - this.#lastTokenAt,
      });
      this.#tokenCount = position;
      this.#lastTokenAt = now;
    };
  }
}
