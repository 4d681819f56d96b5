import type { Digest, Milliseconds, Random, Timer } from "@wasabivane/common";
import type { EngineCacheEvent } from "./types.ts";

const MAXIMUM_RETAINED_EVENTS = 4_096;

/** Options of a {@link CacheEventLog}. */
export interface CacheEventLogOptions {
  timer: Timer;
  random: Random;
  lagMs: Milliseconds;
  lossRate: number;
}

/** Log of cache events that are published after a delay, with some lost. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  readonly #events: { recordedAt: Milliseconds; event: EngineCacheEvent }[] =
    [];
  #sequence = 0;

  constructor(options: CacheEventLogOptions) {
    this.#options = options;
  }

  /** Appends an event, or only consumes a sequence number if it is lost. */
  record(kind: EngineCacheEvent["kind"], digests: readonly Digest[]): void {
    const { timer, random, lossRate } = this.#options;
    this.#sequence++;
    if (lossRate > 0 && random.float() < lossRate) return;
    const event = { sequence: this.#sequence, kind, digests };
    this.#events.push({ recordedAt: timer.now(), event });
    if (this.#events.length <= 2 * MAXIMUM_RETAINED_EVENTS) return;
    this.#events.splice(0, this.#events.length - MAXIMUM_RETAINED_EVENTS);
  }

  /** Returns the published events with a greater sequence number. */
  eventsAfter(sequence: number): EngineCacheEvent[] {
    const publishedUntil = this.#options.timer.now() - this.#options.lagMs;
    const found: EngineCacheEvent[] = [];
    for (let index = this.#events.length - 1; index >= 0; index--) {
      const { recordedAt, event } = this.#events[index]!;
      if (event.sequence <= sequence) break;
      if (recordedAt <= publishedUntil) found.push(event);
    }
    return found.reverse();
  }
}
