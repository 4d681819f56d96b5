import type { Milliseconds } from "@wasabivane/common";
import type { EngineLoad } from "./types.ts";

/** Remembers readings of load just long enough to report them with a lag. */
export class LoadHistory {
  readonly #lagMs: Milliseconds;
  readonly #readings: EngineLoad[] = [];

  constructor(lagMs: Milliseconds) {
    this.#lagMs = lagMs;
  }

  record(reading: EngineLoad): void {
    if (this.#readings.at(-1)?.takenAt === reading.takenAt) {
      this.#readings.pop();
    }
    this.#readings.push(reading);
    this.#forget(reading.takenAt);
  }

  /** The load as it stood one lag before `now`. */
  delayedLoad(now: Milliseconds): EngineLoad {
    this.#forget(now);
    const oldest = this.#readings[0];
    const takenAt = now - this.#lagMs;
    if (oldest === undefined || oldest.takenAt > takenAt) {
      return { takenAt, running: 0, waiting: 0, memoryShare: 0 };
    }
    return { ...oldest, takenAt };
  }

  #forget(now: Milliseconds): void {
    const needed = now - this.#lagMs;
    while ((this.#readings[1]?.takenAt ?? Infinity) <= needed) {
      this.#readings.shift();
    }
  }
}
