import type { Milliseconds, Tier } from "@wasabivane/common";
import type { RequestsAhead } from "./rankQueue.ts";
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
    const { all, own } = queue.countAhead(item, { entry, now });
    const ahead = all + countBefore(queue, rank);
    return {
      ahead,
      startsPerSecond: this.#rates.startsPerSecond(ranksWaitedFor(rank)),
      wait: this.#waitOf(item, { queue, rank, ahead: { all: ahead, own } }),
    };
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
    const ahead = queue.countAheadUnshared(item, { entry, now }) +
      countBefore(queue, rank);
    const wait = this.#rates.estimateWait(ahead, ranksWaitedFor(rank));
    return now + wait <= latestStartOf(item, now);
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
    let all = 0;
    const ownOf = new Map<Item["account"], number>();
    queue.walk(rank, {
      planned: new Map(),
      visit: (item) => {
        const own = ownOf.get(item.account) ?? 0;
        const wait = this.#waitOf(item, { queue, rank, ahead: { all, own } });
        if (now + wait > item.usefulUntil) {
          projectedLate.push(item);
          return "skip";
        }
        all++;
        ownOf.set(item.account, own + 1);
        return "start";
      },
    });
    return projectedLate;
  }

  /**
   * Returns the expected wait behind other requests. An account with a backlog
   * waits at least as long as its own requests take to start, since those of
   * other accounts that arrive later go first.
   */
  #waitOf(
    { account }: QueuedRequest,
    { queue, rank, ahead }: {
      queue: TierQueue<Item>;
      rank: Rank;
      ahead: RequestsAhead;
    },
  ): Milliseconds {
    const ranks = ranksWaitedFor(rank);
    const wait = this.#rates.estimateWait(ahead.all, ranks);
    if (ahead.own === 0) return wait;
    const ownWait = queue.ratesOf(account)?.estimateWait(ahead.own, ranks) ?? 0;
    return Math.max(wait, ownWait);
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
