import type { Digest, Milliseconds, Random, Timer } from "@wasabivane/common";
import type { EngineCacheEvent } from "./types.ts";

const MAXIMUM_KEPT_EVENTS = 4_096;

/** Options of a {@link CacheEventLog}. */
export interface CacheEventLogOptions {
  timer: Timer;
  random: Random;
  lagMs: Milliseconds;
  lossRate: number;
}

/** Publishes cache events late and with gaps. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  readonly #events: { at: Milliseconds; event: EngineCacheEvent }[] = [];
  #sequence = 0;

  constructor(options: CacheEventLogOptions) {
    this.#options = options;
  }

  record(kind: EngineCacheEvent["kind"], digests: readonly Digest[]): void {
    const { timer, random, lossRate } = this.#options;
    this.#sequence++;
    if (lossRate > 0 && random.float() < lossRate) return;
    const event = { sequence: this.#sequence, kind, digests };
    this.#events.push({ at: timer.now(), event });
    if (this.#events.length <= 2 * MAXIMUM_KEPT_EVENTS) return;
    this.#events.splice(0, this.#events.length - MAXIMUM_KEPT_EVENTS);
  }

  /** The published events with a greater sequence number. */
  eventsAfter(sequence: number): EngineCacheEvent[] {
    const published = this.#options.timer.now() - this.#options.lagMs;
    const found: EngineCacheEvent[] = [];
    for (let index = this.#events.length - 1; index >= 0; index--) {
      const { at, event } = this.#events[index]!;
      if (event.sequence <= sequence) break;
      if (at <= published) found.push(event);
    }
    return found.reverse();
  }
}
