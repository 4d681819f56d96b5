import type { Milliseconds } from "@wasabivane/common";
import type { LogValues } from "./decisionLog.ts";

/** How long the steps of one request took, for its callers' sake and its log line. */
export class RequestTimes {
  readonly #arrivedAt: Milliseconds;
  readonly #queuedAt: Milliseconds;
  #waited: Milliseconds = 0;
  #firstByteAt: Milliseconds | undefined;
  #eventsAt: Milliseconds | undefined;
  #longestPause: Milliseconds = 0;
  #parts = 0;

  constructor(
    { arrivedAt, queuedAt }: {
      arrivedAt: Milliseconds;
      queuedAt: Milliseconds;
    },
  ) {
    this.#arrivedAt = arrivedAt;
    this.#queuedAt = queuedAt;
  }

  /** Time that it waited for its first place. */
  get waited(): Milliseconds {
    return this.#waited;
  }

  /** Time until the first event or the whole answer; `undefined` before. */
  get firstByte(): Milliseconds | undefined {
    return this.#firstByteAt === undefined
      ? undefined
      : this.#firstByteAt - this.#arrivedAt;
  }

  notePlace(now: Milliseconds): void {
    this.#waited = now - this.#queuedAt;
  }

  noteFirstByte(now: Milliseconds): void {
    this.#firstByteAt ??= now;
  }

  /** Events were passed on; the time of changing upstreams counts as a pause. */
  noteEvents(now: Milliseconds): void {
    const pause = now - (this.#eventsAt ?? now);
    this.#longestPause = Math.max(this.#longestPause, pause);
    this.#eventsAt = now;
    this.#parts++;
  }

  whole(now: Milliseconds): Milliseconds {
    return now - this.#arrivedAt;
  }

  /** In milliseconds, for the line at the end. */
  values(now: Milliseconds): LogValues {
    const { firstByte } = this;
    return {
      waited: Math.round(this.#waited),
      first: firstByte === undefined ? undefined : Math.round(firstByte),
      pause: Math.round(this.#longestPause),
      parts: this.#parts,
      took: Math.round(this.whole(now)),
    };
  }
}
