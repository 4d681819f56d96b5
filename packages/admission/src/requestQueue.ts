import type { Milliseconds, RequestId, Tier } from "@wasabivane/common";
import { BypassBudget } from "./bypassBudget.ts";
import { SortedQueue } from "./sortedQueue.ts";
import { type Rank, StartRates } from "./startRates.ts";

/** Interval at which late requests are checked against the start rates. */
const RATE_CHECK_INTERVAL_MS: Milliseconds = 100;

/**
 * Order within a tier: continuations, requests that can be on time, late
 * requests.
 */
const CONTINUATION = 0;
const ON_TIME = 1;
const LATE = 2;
const RANKS_PER_TIER = 3;

/** A request in a queue. */
export interface QueuedRequest {
  readonly request: RequestId;
  readonly tier: Tier;
  readonly since: Milliseconds;
  /** Latest start for a response that is on time. */
  readonly onTimeUntil: Milliseconds;
  /** Latest start for a response that is of use to the caller. */
  readonly usefulUntil: Milliseconds;
  /** Expected time in a slot, above 0. */
  readonly slotTime: Milliseconds;
  /**
   * Whether it continues work that an upstream has started and its caller still
   * waits for.
   */
  readonly isContinuation?: boolean;
}

/** Expected course of a queued request, or of one that would join the queue. */
export interface QueueEstimate {
  /** Number of requests that start before it unless it becomes late. */
  readonly ahead: number;
  /** Starts per second of requests like it; `undefined` while unknown. */
  readonly startsPerSecond: number | undefined;
  /** Expected time until it starts at that rate. */
  readonly wait: Milliseconds;
}

/** A queued request and its position. */
interface QueueEntry<Item> {
  readonly item: Item;
  readonly rank: Rank;
  readonly priority: Milliseconds;
  readonly order: number;
}

/**
 * Queue of the requests that wait for one service, ordered by tier. Within a
 * tier, continuations come first, then requests that can still be on time by
 * their due time, then late requests by arrival. Short requests of lower tiers
 * can bypass others within a budget, see {@link BypassBudget}.
 *
 * In a burst above capacity, serving those first that can still be on time
 * keeps most requests on time, while order of arrival would make all of them
 * late. The expected length of a response does not affect the order, so that
 * long requests do not starve. Requests that cannot start in time are refused
 * as soon as the start rates show it. Continuations are never refused, as most
 * of their work is done.
 */
export class RequestQueue<Item extends QueuedRequest> {
  readonly #entries = new Map<RequestId, QueueEntry<Item>>();
  /** Queues by rank, each in start order. */
  readonly #queues = new Map<Rank, SortedQueue<Item>>();
  readonly #rates = new StartRates();
  readonly #bypassBudget = new BypassBudget();
  #pushCount = 0;
  /** No queued request expires before this time. */
  #nextExpiryAt: Milliseconds = Infinity;
  #ratesCheckedAt: Milliseconds = -Infinity;

  get size(): number {
    return this.#entries.size;
  }

  /** Whether requests were waiting for a good part of the last seconds. */
  get isBacklogged(): boolean {
    return this.#rates.isKnown;
  }

  push(item: Item, now: Milliseconds): void {
    this.#rates.advance(this.size > 0, now);
    this.remove(item.request);
    this.#add(item, this.#pushCount++, now);
    if (isContinuation(item)) return;
    this.#nextExpiryAt = Math.min(this.#nextExpiryAt, item.usefulUntil);
  }

  /** Removes a request that starts. */
  start(request: RequestId, now: Milliseconds): Item | undefined {
    this.#rates.advance(this.size > 0, now);
    const item = this.remove(request);
    if (item === undefined) return undefined;
    this.#rates.recordStart(rankOf(item, now));
    this.#bypassBudget.recordStart(item, this.#hasMoreUrgent(item.tier));
    return item;
  }

  remove(request: RequestId): Item | undefined {
    const entry = this.#entries.get(request);
    if (entry === undefined) return undefined;
    this.#entries.delete(request);
    this.#queues.get(entry.rank)!.remove(entry.priority, entry.order);
    return entry.item;
  }

  /** Removes and returns the requests for which a condition holds. */
  removeWhere(holds: (item: Item) => boolean): Item[] {
    const removed: Item[] = [];
    for (const { item } of this.#entries.values()) {
      if (holds(item)) removed.push(item);
    }
    for (const { request } of removed) this.remove(request);
    return removed;
  }

  /**
   * Removes and returns the requests that have expired, and late ones that
   * cannot start in time at the current rates.
   */
  removeUnservable(now: Milliseconds): Item[] {
    this.#rates.advance(this.size > 0, now);
    return [...this.#removeExpired(now), ...this.#removeProjectedLate(now)];
  }

  #removeExpired(now: Milliseconds): Item[] {
    if (now < this.#nextExpiryAt) return [];
    const expired: Item[] = [];
    this.#nextExpiryAt = Infinity;
    for (const { item } of this.#entries.values()) {
      if (isContinuation(item)) continue;
      if (item.usefulUntil <= now) expired.push(item);
      else this.#nextExpiryAt = Math.min(this.#nextExpiryAt, item.usefulUntil);
    }
    for (const { request } of expired) this.remove(request);
    return expired;
  }

  /**
   * Removes late requests that cannot start in time behind those ahead of them.
   */
  #removeProjectedLate(now: Milliseconds): Item[] {
    if (now - this.#ratesCheckedAt < RATE_CHECK_INTERVAL_MS) return [];
    this.#ratesCheckedAt = now;
    this.#demoteLate(now);
    const projectedLate: Item[] = [];
    for (const rank of this.#ranks()) {
      if (!isLateRank(rank)) continue;
      let ahead = 0;
      for (const item of this.#queues.get(rank)!.items) {
        const startsAt = now + this.#rates.estimateWait(ahead, [rank]);
        if (startsAt > item.usefulUntil) projectedLate.push(item);
        else ahead++;
      }
    }
    for (const { request } of projectedLate) this.remove(request);
    return projectedLate;
  }

  /**
   * Whether a request, queued or not, would start too late at the current
   * rates: after its response is of use, or too late to be on time while that
   * is still possible. With none ahead it may start at once, so it is not
   * refused on an estimate.
   */
  shouldRefuse(item: QueuedRequest, now: Milliseconds): boolean {
    if (isContinuation(item)) return false;
    const { ahead, wait } = this.estimate(item, now);
    if (ahead === 0) return false;
    const until = isLate(item, now) ? item.usefulUntil : item.onTimeUntil;
    return now + wait > until;
  }

  /** Returns the estimate for a request, queued or not. */
  estimate(item: QueuedRequest, now: Milliseconds): QueueEstimate {
    this.#demoteLate(now);
    const rank = rankOf(item, now);
    if (isLateRank(rank)) {
      const ahead = this.#aheadOf(item, rank, now);
      const startsPerSecond = this.#rates.startsPerSecond([rank]);
      return {
        ahead,
        startsPerSecond,
        wait: this.#rates.estimateWait(ahead, [rank]),
      };
    }
    const ranks = ranksOf(item.tier);
    const continuations = isContinuation(item)
      ? 0
      : this.#queues.get(ranks[CONTINUATION]!)?.size ?? 0;
    const ahead = continuations + this.#aheadOf(item, rank, now);
    return {
      ahead,
      startsPerSecond: this.#rates.startsPerSecond(ranks),
      wait: this.#rates.estimateWait(ahead, ranks),
    };
  }

  /**
   * Returns the requests that can start now in start order, at most `maximum` of
   * them.
   */
  inOrder(
    now: Milliseconds,
    { maximum = Infinity, canStart = () => true }: {
      maximum?: number;
      canStart?: (item: Item) => boolean;
    } = {},
  ): Item[] {
    this.#demoteLate(now);
    const ranks = this.#ranks();
    const order = this.#selectBypassing(ranks, canStart);
    const isBypassing = new Set(order);
    for (const rank of ranks) {
      for (const item of this.#queues.get(rank)!.items) {
        if (order.length >= maximum) return order;
        if (!isBypassing.has(item) && canStart(item)) order.push(item);
      }
    }
    return order;
  }

  /** Returns the short requests that may start before more urgent ones. */
  #selectBypassing(
    ranks: readonly Rank[],
    canStart: (item: Item) => boolean,
  ): Item[] {
    const selection = this.#bypassBudget.startSelection();
    const bypassing: Item[] = [];
    for (const rank of ranks) {
      const isAllowed = !isLateRank(rank) &&
        selection.isTierAllowed(tierOf(rank));
      if (!isAllowed) continue;
      for (const item of this.#queues.get(rank)!.items) {
        if (canStart(item) && selection.reserve(item)) bypassing.push(item);
      }
    }
    return bypassing;
  }

  #add(item: Item, order: number, now: Milliseconds): void {
    const rank = rankOf(item, now);
    const priority = priorityOf(item, now);
    let queue = this.#queues.get(rank);
    if (queue === undefined) {
      queue = new SortedQueue();
      this.#queues.set(rank, queue);
    }
    queue.add(item, priority, order);
    this.#entries.set(item.request, { item, rank, priority, order });
  }

  /** Moves requests that have become late to the queue of late requests. */
  #demoteLate(now: Milliseconds): void {
    for (const [rank, queue] of this.#queues) {
      if (!isOnTimeRank(rank)) continue;
      for (let [item] = queue.items; item; [item] = queue.items) {
        if (!isLate(item, now)) break;
        const { order } = this.#entries.get(item.request)!;
        this.remove(item.request);
        this.#add(item, order, now);
      }
    }
  }

  #ranks(): Rank[] {
    return [...this.#queues.keys()].toSorted((left, right) => left - right);
  }

  #hasMoreUrgent(tier: Tier): boolean {
    for (const [rank, { size }] of this.#queues) {
      if (size > 0 && rank < RANKS_PER_TIER * tier) return true;
    }
    return false;
  }

  /**
   * Returns the number of other requests of its rank with an equal or lower
   * priority value.
   */
  #aheadOf(item: QueuedRequest, rank: Rank, now: Milliseconds): number {
    const count = this.#queues.get(rank)?.countUpTo(priorityOf(item, now)) ?? 0;
    const isCounted = this.#entries.get(item.request)?.rank === rank;
    return isCounted ? count - 1 : count;
  }
}

/**
 * Whether a request is as urgent as another one and due at most `span` after
 * it.
 */
export function isDueWithin(
  span: Milliseconds,
  { first, other, now }: {
    first: QueuedRequest;
    other: QueuedRequest;
    now: Milliseconds;
  },
): boolean {
  return rankOf(first, now) === rankOf(other, now) &&
    priorityOf(other, now) <= priorityOf(first, now) + span;
}

function isContinuation({ isContinuation }: QueuedRequest): boolean {
  return isContinuation === true;
}

/** Continuations never count as late. */
function isLate(item: QueuedRequest, now: Milliseconds): boolean {
  return !isContinuation(item) && item.onTimeUntil <= now;
}

function rankOf(item: QueuedRequest, now: Milliseconds): Rank {
  const position = isContinuation(item)
    ? CONTINUATION
    : isLate(item, now)
    ? LATE
    : ON_TIME;
  return RANKS_PER_TIER * item.tier + position;
}

/** Returns the ranks of a tier, by position in it. */
function ranksOf(tier: Tier): Rank[] {
  return [CONTINUATION, ON_TIME, LATE].map((position) =>
    RANKS_PER_TIER * tier + position
  );
}

function tierOf(rank: Rank): Tier {
  return Math.floor(rank / RANKS_PER_TIER) as Tier;
}

function isLateRank(rank: Rank): boolean {
  return rank % RANKS_PER_TIER === LATE;
}

function isOnTimeRank(rank: Rank): boolean {
  return rank % RANKS_PER_TIER === ON_TIME;
}

/**
 * Returns the priority value within a rank: by due time, or by arrival for late
 * requests and continuations.
 */
function priorityOf(item: QueuedRequest, now: Milliseconds): Milliseconds {
  return isLate(item, now) || isContinuation(item)
    ? item.since
    : item.onTimeUntil;
}
