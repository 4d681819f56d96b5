import type { Milliseconds } from "@wasabivane/common";
import type { EngineLoad } from "./types.ts";

/** Retains load samples for as long as the report lag needs them. */
export class LoadHistory {
  readonly #lagMs: Milliseconds;
  readonly #samples: EngineLoad[] = [];

  constructor(lagMs: Milliseconds) {
    this.#lagMs = lagMs;
  }

  record(sample: EngineLoad): void {
    if (this.#samples.at(-1)?.takenAt === sample.takenAt) {
      this.#samples.pop();
    }
    this.#samples.push(sample);
    this.#removeOutdated(sample.takenAt);
  }

  /** Returns the load one lag before `now`. */
  delayedLoad(now: Milliseconds): EngineLoad {
    this.#removeOutdated(now);
    const oldest = this.#samples[0];
    const takenAt = now - this.#lagMs;
    if (oldest === undefined || oldest.takenAt > takenAt) {
      return { takenAt, running: 0, waiting: 0, memoryShare: 0 };
    }
    return { ...oldest, takenAt };
  }

  #removeOutdated(now: Milliseconds): void {
    const neededFrom = now - this.#lagMs;
    while ((this.#samples[1]?.takenAt ?? Infinity) <= neededFrom) {
      this.#samples.shift();
    }
  }
}
