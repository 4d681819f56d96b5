import type { Milliseconds } from "@wasabivane/common";
import type { LogValues } from "./decisionLog.ts";

/** Measures the phases of one request for metrics and logs. */
export class RequestTimings {
  readonly #arrivedAt: Milliseconds;
  readonly #queuedAt: Milliseconds;
  #waited: Milliseconds = 0;
  #firstByteAt: Milliseconds | undefined;
  #lastEventsAt: Milliseconds | undefined;
  #longestPause: Milliseconds = 0;
  #eventBatches = 0;

  constructor(
    { arrivedAt, queuedAt }: {
      arrivedAt: Milliseconds;
      queuedAt: Milliseconds;
    },
  ) {
    this.#arrivedAt = arrivedAt;
    this.#queuedAt = queuedAt;
  }

  /** Time in the queue before the first attempt. */
  get waited(): Milliseconds {
    return this.#waited;
  }

  /**
   * Time until the first event or the complete response; `undefined` before.
   */
  get firstByte(): Milliseconds | undefined {
    return this.#firstByteAt === undefined
      ? undefined
      : this.#firstByteAt - this.#arrivedAt;
  }

  recordStart(now: Milliseconds): void {
    this.#waited = now - this.#queuedAt;
  }

  recordFirstByte(now: Milliseconds): void {
    this.#firstByteAt ??= now;
  }

  /** Records forwarded events; a change of upstream counts as a pause. */
  recordEvents(now: Milliseconds): void {
    const pause = now - (this.#lastEventsAt ?? now);
    this.#longestPause = Math.max(this.#longestPause, pause);
    this.#lastEventsAt = now;
    this.#eventBatches++;
  }

  total(now: Milliseconds): Milliseconds {
    return now - this.#arrivedAt;
  }

  /** Returns the values for the request's final log line, in milliseconds. */
  logValues(now: Milliseconds): LogValues {
    const { firstByte } = this;
    return {
      waited: Math.round(this.#waited),
      first: firstByte === undefined ? undefined : Math.round(firstByte),
      pause: Math.round(this.#longestPause),
      parts: this.#eventBatches,
      took: Math.round(this.total(now)),
    };
  }
}
