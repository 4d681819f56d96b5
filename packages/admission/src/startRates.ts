import type { Milliseconds } from "@wasabivane/common";

/** Time constant with which recorded starts decay. */
const MEMORY_MS: Milliseconds = 1_500;
/**
 * Time within the memory for which the queue must have been occupied before
 * rates are known.
 */
const MINIMUM_OCCUPIED_MS: Milliseconds = 800;

/** Priority class in a queue; smaller ranks start first. */
export type Rank = number;

/**
 * Measures how fast the requests of each rank start while a queue is occupied.
 *
 * While a burst of a higher tier moves through the queue, requests of lower
 * tiers do not start at all, so each rank has its own rate.
 */
export class StartRates {
  readonly #starts = new Map<Rank, number>();
  #occupied: Milliseconds = 0;
  #advancedAt: Milliseconds | undefined;

  /**
   * Advances to the given time; `isOccupied` tells whether requests were
   * waiting meanwhile.
   */
  advance(isOccupied: boolean, now: Milliseconds): void {
    const span = now - (this.#advancedAt ?? now);
    this.#advancedAt = now;
    if (span <= 0) return;
    const kept = Math.exp(-span / MEMORY_MS);
    this.#occupied = this.#occupied * kept + (isOccupied ? span : 0);
    for (const [rank, startCount] of this.#starts) {
      this.#starts.set(rank, startCount * kept);
    }
  }

  /** Records the start of a request. */
  recordStart(rank: Rank): void {
    this.#starts.set(rank, (this.#starts.get(rank) ?? 0) + 1);
  }

  /** Whether the queue was occupied for long enough to know its rates. */
  get isKnown(): boolean {
    return this.#occupied >= MINIMUM_OCCUPIED_MS;
  }

  /** Returns the starts per second of some ranks; `undefined` while unknown. */
  startsPerSecond(ranks: readonly Rank[]): number | undefined {
    if (!this.isKnown) return undefined;
    let starts = 0;
    for (const rank of ranks) starts += this.#starts.get(rank) ?? 0;
    return starts * 1_000 / this.#occupied;
  }

  /**
   * Returns the expected time until a request with the given number of requests
   * ahead is next; 0 while rates are unknown. A request with none ahead may
   * start at any moment, whatever the rate.
   */
  estimateWait(ahead: number, ranks: readonly Rank[]): Milliseconds {
    const rate = this.#usableRate(ranks);
    return rate === undefined ? 0 : ahead * 1_000 / rate;
  }

  /**
   * Returns a number of requests ahead whose starts surely take longer than a
   * span; infinite while rates are unknown, unless the span is negative.
   */
  countBeyond(span: Milliseconds, ranks: readonly Rank[]): number {
    if (span < 0) return 1;
    const rate = this.#usableRate(ranks);
    return rate === undefined ? Infinity : Math.ceil(span * rate / 1_000) + 1;
  }

  /** Returns the starts per second, at least one within the memory. */
  #usableRate(ranks: readonly Rank[]): number | undefined {
    const rate = this.startsPerSecond(ranks);
    return rate === undefined ? undefined : Math.max(rate, 1_000 / MEMORY_MS);
  }
}
