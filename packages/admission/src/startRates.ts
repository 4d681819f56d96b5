import type { Milliseconds } from "@wasabivane/common";

/** Starts are remembered for about so long: several of one host's lowest tier, less than a burst. */
const MEMORY_MS: Milliseconds = 1_500;
/** A line that has not been occupied for so long within the memory tells nothing yet. */
const LEAST_OCCUPIED_MS: Milliseconds = 800;

/** Order of urgency in a line; the smaller starts first. */
export type Rank = number;

/**
 * How fast the requests of each rank start while a line is occupied.
 *
 * Answers the load pattern of a lower tier behind a burst of a higher one. The
 * line as a whole moves fast then, and nothing of the lower tier does: only its
 * own starts tell how long it will wait.
 */
export class StartRates {
  readonly #starts = new Map<Rank, number>();
  #occupied: Milliseconds = 0;
  #passedAt: Milliseconds | undefined;

  /** Lets the time pass until now; `isOccupied`: something waited meanwhile. */
  advance(isOccupied: boolean, now: Milliseconds): void {
    const span = now - (this.#passedAt ?? now);
    this.#passedAt = now;
    if (span <= 0) return;
    const kept = Math.exp(-span / MEMORY_MS);
    this.#occupied = this.#occupied * kept + (isOccupied ? span : 0);
    for (const [rank, startCount] of this.#starts) {
      this.#starts.set(rank, startCount * kept);
    }
  }

  /** A request of the rank started. */
  recordStart(rank: Rank): void {
    this.#starts.set(rank, (this.#starts.get(rank) ?? 0) + 1);
  }

  /** Whether the line was occupied for long enough to tell its pace. */
  get isKnown(): boolean {
    return this.#occupied >= LEAST_OCCUPIED_MS;
  }

  /** Starts a second of some ranks; `undefined` before the line was occupied for long enough. */
  perSecond(ranks: readonly Rank[]): number | undefined {
    if (!this.isKnown) return undefined;
    let starts = 0;
    for (const rank of ranks) starts += this.#starts.get(rank) ?? 0;
    return starts * 1_000 / this.#occupied;
  }

  /**
   * Time until a request with so many of these ranks ahead is the next one; 0 while
   * nothing is known. The next one may start any moment, when an upstream
   * returns for instance, and is never given up for a pace of the past.
   */
  estimateWait(ahead: number, ranks: readonly Rank[]): Milliseconds {
    const rate = this.perSecond(ranks);
    if (rate === undefined) return 0;
    const least = 1_000 / MEMORY_MS;
    return ahead * 1_000 / Math.max(rate, least);
  }
}
