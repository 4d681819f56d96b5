import type { Milliseconds, RequestId, Tier } from "@wasabivane/common";
import { type AccountUse, AccountUseCounter } from "./accountUse.ts";
import { BypassBudget } from "./bypassBudget.ts";
import type { PlannedWork } from "./fairWalk.ts";
import {
  type EstimatedRequest,
  type QueueEstimate,
  QueueEstimator,
} from "./queueEstimator.ts";
import {
  isContinuation,
  isLateRank,
  isOnTimeRank,
  priorityOf,
  type QueuedRequest,
  rankOf,
  ranksOf,
} from "./requestRanks.ts";
import { StartRates } from "./startRates.ts";
import { type QueueEntry, TierQueue } from "./tierQueue.ts";

/** Interval at which late requests are checked against the start rates. */
const RATE_CHECK_INTERVAL_MS: Milliseconds = 100;

/**
 * Queue of the requests that wait for one service, ordered by tier. Within a
 * tier, continuations come first, then requests that can still be on time, then
 * late requests. Within each of these ranks, the account that has received the
 * least work goes first, and within an account requests go by due time, or by
 * arrival if they are late. Short requests of lower tiers can bypass others
 * within a budget, see {@link BypassBudget}.
 *
 * Without the order by accounts, an account that sends far more than its share
 * would take the slots of all others.
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
  /** Queues by tier, the most urgent one first. */
  #tiers: ReadonlyMap<Tier, TierQueue<Item>> = new Map();
  readonly #rates = new StartRates();
  readonly #estimator = new QueueEstimator<Item>(this.#rates);
  readonly #accountUse = new AccountUseCounter();
  readonly #bypassBudget = new BypassBudget();
  #pushCount = 0;
  /** No queued request expires before this time. */
  #nextExpiryAt: Milliseconds = Infinity;
  #ratesCheckedAt: Milliseconds = -Infinity;

  get size(): number {
    return this.#entries.size;
  }

  /** Number of accounts that wait or have started requests recently. */
  get accountCount(): number {
    let count = 0;
    for (const queue of this.#tiers.values()) {
      count = Math.max(count, queue.accountCount);
    }
    return count;
  }

  /** Whether requests were waiting for a good part of the last seconds. */
  get isBacklogged(): boolean {
    return this.#rates.isKnown;
  }

  push(item: Item, now: Milliseconds): void {
    this.#rates.advance(this.size > 0, now);
    this.remove(item.request);
    const entry = this.#tierOf(item.tier).add(item, this.#pushCount++, now);
    this.#entries.set(item.request, entry);
    if (isContinuation(item)) return;
    this.#nextExpiryAt = Math.min(this.#nextExpiryAt, item.usefulUntil);
  }

  /** Removes a request that starts. */
  start(request: RequestId, now: Milliseconds): Item | undefined {
    this.#rates.advance(this.size > 0, now);
    const item = this.#entries.get(request)?.item;
    if (item === undefined) return undefined;
    const rank = rankOf(item, now);
    this.#rates.recordStart(rank);
    for (const [tier, queue] of this.#tiers) {
      if (tier >= item.tier) queue.recordStart(item, rank, now);
    }
    this.remove(request);
    this.#accountUse.recordStart(item.account);
    this.#bypassBudget.recordStart(item, this.#hasMoreUrgent(item.tier));
    return item;
  }

  remove(request: RequestId): Item | undefined {
    const entry = this.#entries.get(request);
    if (entry === undefined) return undefined;
    this.#entries.delete(request);
    this.#tierOf(entry.item.tier).remove(entry);
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
    for (const queue of this.#tiers.values()) queue.removeIdle(now);
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
    for (const [tier, queue] of this.#tiers) {
      projectedLate.push(
        ...this.#estimator.projectedLate(tier, { queue, now }),
      );
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
    this.#demoteLate(now);
    return this.#estimator.startsTooLate(this.#estimatedOf(item), now);
  }

  /**
   * Whether a request that is refused would have started in time if accounts
   * had no shares.
   */
  isRefusedByShare(item: QueuedRequest, now: Milliseconds): boolean {
    return this.#estimator.isRefusedByShare(this.#estimatedOf(item), now);
  }

  /** Returns the estimate for a request, queued or not. */
  estimate(item: QueuedRequest, now: Milliseconds): QueueEstimate {
    this.#demoteLate(now);
    return this.#estimator.estimate(this.#estimatedOf(item), now);
  }

  #estimatedOf(item: QueuedRequest): EstimatedRequest<Item> {
    const entry = this.#entries.get(item.request);
    return { item, queue: this.#tierOf(item.tier), entry };
  }

  /** Records the refusal of a request, for {@link takeAccountUse}. */
  recordRefusal({ account }: QueuedRequest): void {
    this.#accountUse.recordRefusal(account);
  }

  /** Returns starts and refusals by account since the last call. */
  takeAccountUse(): readonly AccountUse[] {
    const waiting = new Map<Item["account"], number>();
    for (const { item: { account } } of this.#entries.values()) {
      waiting.set(account, (waiting.get(account) ?? 0) + 1);
    }
    return this.#accountUse.take(waiting);
  }

  /**
   * Whether a request may take the slot of the first one: it is as urgent and
   * due at most `span` after it, and its account has not received more work.
   */
  isDueWithin(
    span: Milliseconds,
    { first, other, now }: { first: Item; other: Item; now: Milliseconds },
  ): boolean {
    const isClose = rankOf(first, now) === rankOf(other, now) &&
      priorityOf(other, now) <= priorityOf(first, now) + span;
    if (!isClose || first.account === other.account) return isClose;
    return this.#tierOf(first.tier).hasNoMoreWork(other.account, {
      than: first.account,
    });
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
    const order = this.#selectBypassing(canStart);
    const isBypassing = new Set(order);
    for (const [tier, queue] of this.#tiers) {
      const planned: PlannedWork = new Map();
      for (const rank of ranksOf(tier)) {
        if (order.length >= maximum) return order;
        queue.walk(rank, {
          planned,
          visit: (item) => {
            if (order.length >= maximum) return "stop";
            if (isBypassing.has(item) || !canStart(item)) return "skip";
            order.push(item);
            return "start";
          },
        });
      }
    }
    return order;
  }

  /** Returns the short requests that may start before more urgent ones. */
  #selectBypassing(canStart: (item: Item) => boolean): Item[] {
    const selection = this.#bypassBudget.startSelection();
    const bypassing: Item[] = [];
    for (const [tier, queue] of this.#tiers) {
      if (!selection.isTierAllowed(tier)) continue;
      const planned: PlannedWork = new Map();
      const maximumSlotTime = selection.maximumSlotTime(tier);
      for (const rank of ranksOf(tier)) {
        if (isLateRank(rank)) continue;
        queue.walk(rank, {
          planned,
          maximumSlotTime,
          visit: (item) => {
            if (item.slotTime > maximumSlotTime) return "skip";
            if (!canStart(item) || !selection.reserve(item)) return "skip";
            bypassing.push(item);
            return "start";
          },
        });
      }
    }
    return bypassing;
  }

  /** Moves requests that have become late to the rank of late requests. */
  #demoteLate(now: Milliseconds): void {
    for (const [tier, queue] of this.#tiers) {
      for (const rank of ranksOf(tier)) {
        if (!isOnTimeRank(rank)) continue;
        for (const { request } of queue.itemsUpTo(now, rank)) {
          const entry = this.#entries.get(request)!;
          this.#entries.set(request, queue.move(entry, now));
        }
      }
    }
  }

  #tierOf(tier: Tier): TierQueue<Item> {
    const known = this.#tiers.get(tier);
    if (known !== undefined) return known;
    const added = new TierQueue<Item>(tier);
    const tiers = [...this.#tiers, [tier, added] as const];
    this.#tiers = new Map(tiers.toSorted(([left], [right]) => left - right));
    return added;
  }

  #hasMoreUrgent(tier: Tier): boolean {
    for (const [other, queue] of this.#tiers) {
      if (other < tier && queue.size > 0) return true;
    }
    return false;
  }
}
