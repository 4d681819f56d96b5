import type { Milliseconds, Tier } from "@wasabivane/common";
import {
  isLateRank,
  latestStartOf,
  type QueuedRequest,
  rankOf,
  ranksOf,
  ranksWaitedFor,
  tierOf,
  waitsFor,
} from "./requestRanks.ts";
import type { Rank, StartRates } from "./startRates.ts";
import type { QueueEntry, TierQueue } from "./tierQueue.ts";

/** Expected course of a queued request, or of one that would join the queue. */
export interface QueueEstimate {
  /** Number of requests that start before it unless it becomes late. */
  readonly ahead: number;
  /** Starts per second of requests like it; `undefined` while unknown. */
  readonly startsPerSecond: number | undefined;
  /** Expected time until it starts at that rate. */
  readonly wait: Milliseconds;
}

/** A request whose course is estimated. */
export interface EstimatedRequest<Item extends QueuedRequest> {
  readonly item: QueuedRequest;
  readonly queue: TierQueue<Item>;
  /** Its entry if it is queued. */
  readonly entry: QueueEntry<Item> | undefined;
}

/** Estimates when requests start from the order of starts and their rates. */
export class QueueEstimator<Item extends QueuedRequest> {
  readonly #rates: StartRates;

  constructor(rates: StartRates) {
    this.#rates = rates;
  }

  /** Returns the estimate for a request. */
  estimate(
    { item, queue, entry }: EstimatedRequest<Item>,
    now: Milliseconds,
  ): QueueEstimate {
    const rank = rankOf(item, now);
    const ahead = queue.countAhead(item, { entry, now }) +
      countBefore(queue, rank);
    const ranks = ranksWaitedFor(rank);
    return {
      ahead,
      startsPerSecond: this.#rates.startsPerSecond(ranks),
      wait: this.#rates.estimateWait(ahead, ranks),
    };
  }

  /**
   * Whether a request would start too late behind those ahead of it. Counts
   * them only as far as that matters.
   */
  startsTooLate(
    { item, queue, entry }: EstimatedRequest<Item>,
    now: Milliseconds,
  ): boolean {
    const rank = rankOf(item, now);
    const ranks = ranksWaitedFor(rank);
    const latest = latestStartOf(item, now);
    const enough = this.#rates.countBeyond(latest - now, ranks);
    if (enough === Infinity) return false;
    const before = countBefore(queue, rank);
    const ahead = before +
      queue.countAhead(item, { entry, now, enough: enough - before });
    if (ahead === 0) return false;
    return now + this.#rates.estimateWait(ahead, ranks) > latest;
  }

  /**
   * Whether a request that is refused would have started in time if accounts
   * had no shares.
   */
  isRefusedByShare(
    { item, queue, entry }: EstimatedRequest<Item>,
    now: Milliseconds,
  ): boolean {
    if (!queue.isShared) return false;
    const rank = rankOf(item, now);
    const ranks = ranksWaitedFor(rank);
    const latest = latestStartOf(item, now);
    const enough = this.#rates.countBeyond(latest - now, ranks);
    if (enough === Infinity) return true;
    const before = countBefore(queue, rank);
    const ahead = before +
      queue.countAheadUnshared(item, { entry, now, enough: enough - before });
    return now + this.#rates.estimateWait(ahead, ranks) <= latest;
  }

  /**
   * Returns the late requests of a tier that cannot start in time behind those
   * ahead of them.
   */
  projectedLate(
    tier: Tier,
    { queue, now }: { queue: TierQueue<Item>; now: Milliseconds },
  ): Item[] {
    return ranksOf(tier)
      .filter((rank) => isLateRank(rank) && queue.sizeOf(rank) > 0)
      .flatMap((rank) => this.#projectedLate(rank, { queue, now }));
  }

  #projectedLate(
    rank: Rank,
    { queue, now }: { queue: TierQueue<Item>; now: Milliseconds },
  ): Item[] {
    const projectedLate: Item[] = [];
    let ahead = 0;
    queue.walk(rank, {
      planned: new Map(),
      visit: (item) => {
        const startsAt = now + this.#rates.estimateWait(ahead, [rank]);
        if (startsAt > item.usefulUntil) {
          projectedLate.push(item);
          return "skip";
        }
        ahead++;
        return "start";
      },
    });
    return projectedLate;
  }
}

/** Returns the number of requests of the ranks before one, in its tier. */
function countBefore<Item extends QueuedRequest>(
  queue: TierQueue<Item>,
  rank: Rank,
): number {
  let count = 0;
  for (const other of ranksOf(tierOf(rank))) {
    if (waitsFor(rank, other)) count += queue.sizeOf(other);
  }
  return count;
}
