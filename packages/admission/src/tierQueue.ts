import type { ClientAccountId, Milliseconds, Tier } from "@wasabivane/common";
import { type AccountShare, AccountShares } from "./accountShares.ts";
import type { FairWalkOptions, Visit } from "./fairWalk.ts";
import { type RankKey, RankQueue } from "./rankQueue.ts";
import {
  priorityOf,
  type QueuedRequest,
  rankOf,
  ranksOf,
} from "./requestRanks.ts";
import type { Rank } from "./startRates.ts";
import { WorkSteps } from "./workSteps.ts";

/** A queued request and its position. */
export interface QueueEntry<Item> extends RankKey {
  readonly item: Item;
  readonly rank: Rank;
}

/** Options of a count of the requests ahead of another one. */
interface CountOptions<Item> {
  /** Entry of the request if it is queued. */
  readonly entry: QueueEntry<Item> | undefined;
  readonly now: Milliseconds;
  /** Count from which a more exact one is not needed; infinite by default. */
  readonly enough?: number;
}

/**
 * Requests of one tier by rank, and what their accounts have received.
 *
 * The work of an account counts its starts in this tier and in more urgent
 * ones. Starts in less urgent tiers do not count: an account that used spare
 * capacity there would otherwise wait for accounts that did not need it.
 */
export class TierQueue<Item extends QueuedRequest> {
  readonly #shares = new AccountShares();
  readonly #steps = new WorkSteps();
  readonly #ranks: ReadonlyMap<Rank, RankQueue<Item>>;
  /**
   * Most work that an account had received when one of its requests started. It
   * never decreases: an account with less work that starts out of turn, such as
   * with a continuation, would otherwise give all newcomers a credit.
   */
  #clock: Milliseconds = 0;

  constructor(tier: Tier) {
    this.#ranks = new Map(
      ranksOf(tier).map((rank) => [rank, new RankQueue<Item>(this.#steps)]),
    );
  }

  /** Number of accounts that wait or have started requests recently. */
  get accountCount(): number {
    return this.#shares.size;
  }

  /** Whether several accounts wait or have started requests recently. */
  get isShared(): boolean {
    return this.#shares.size > 1;
  }

  /** Number of waiting requests. */
  get size(): number {
    let size = 0;
    for (const queue of this.#ranks.values()) size += queue.size;
    return size;
  }

  /** Returns the number of waiting requests of a rank. */
  sizeOf(rank: Rank): number {
    return this.#ranks.get(rank)!.size;
  }

  /** Adds a request that begins to wait. */
  add(item: Item, order: number, now: Milliseconds): QueueEntry<Item> {
    const share = this.#shares.of(item.account);
    const work = this.#workOnEntry(share, rankOf(item, now));
    share.waiting++;
    share.activeAt = now;
    if (work > share.virtualTime) this.#setWork(share, work);
    return this.#insert(item, { share, order, now });
  }

  remove({ item, rank, ...key }: QueueEntry<Item>): void {
    this.#ranks.get(rank)!.remove(item, key);
    key.share.waiting--;
  }

  /** Moves a request to the rank that it has now. */
  move(entry: QueueEntry<Item>, now: Milliseconds): QueueEntry<Item> {
    const { item, rank, ...key } = entry;
    this.#ranks.get(rank)!.remove(item, key);
    return this.#insert(item, { ...key, now });
  }

  /** Returns the requests of a rank up to a priority value, in no order. */
  itemsUpTo(priority: Milliseconds, rank: Rank): readonly Item[] {
    return this.#ranks.get(rank)!.itemsUpTo(priority);
  }

  /**
   * Records that a request of this tier or a more urgent one starts at the
   * given rank.
   */
  recordStart(item: Item, rank: Rank, now: Milliseconds): void {
    const share = this.#shares.of(item.account);
    share.activeAt = now;
    this.#clock = Math.max(this.#clock, share.virtualTime);
    this.#setWork(share, share.virtualTime + item.slotTime);
    if (!this.#ranks.has(rank) || !this.#steps.recordStart(item.slotTime)) {
      return;
    }
    for (const queue of this.#ranks.values()) queue.sort();
  }

  /** Visits the requests of a rank, see {@link RankQueue.walk}. */
  walk(
    rank: Rank,
    { visit, ...options }: FairWalkOptions & {
      readonly visit: (item: Item) => Visit;
    },
  ): void {
    this.#ranks.get(rank)!.walk(visit, options);
  }

  /**
   * Returns the number of requests of the same rank that start before one that
   * is queued or would join; stops counting at `enough`.
   */
  countAhead(
    item: QueuedRequest,
    { entry, now, enough = Infinity }: CountOptions<Item>,
  ): number {
    const rank = rankOf(item, now);
    const share = this.#shares.find(item.account);
    return this.#ranks.get(rank)!.countAhead({
      share,
      work: this.#workOnEntry(share, rank),
      priority: priorityOf(item, now),
      isQueued: entry?.rank === rank,
      enough,
    });
  }

  /**
   * Returns the number of other requests of its rank that would start before a
   * request if accounts had no shares; stops counting at `enough`.
   */
  countAheadUnshared(
    item: QueuedRequest,
    { entry, now, enough = Infinity }: CountOptions<Item>,
  ): number {
    const rank = rankOf(item, now);
    const own = entry?.rank === rank ? 1 : 0;
    const priority = priorityOf(item, now);
    return this.#ranks.get(rank)!.countUpTo(priority, enough + own) - own;
  }

  /**
   * Whether an account has received no more work than another one, in whole
   * steps.
   */
  hasNoMoreWork(
    account: ClientAccountId | undefined,
    { than }: { than: ClientAccountId | undefined },
  ): boolean {
    const stepOfAccount = (account: ClientAccountId | undefined): number =>
      this.#steps.of(this.#shares.find(account)?.virtualTime ?? 0);
    return stepOfAccount(account) <= stepOfAccount(than);
  }

  /** Drops the accounts that have been idle for some seconds. */
  removeIdle(now: Milliseconds): void {
    this.#shares.removeIdle(now);
  }

  #insert(
    item: Item,
    { share, order, now }: {
      share: AccountShare;
      order: number;
      now: Milliseconds;
    },
  ): QueueEntry<Item> {
    const rank = rankOf(item, now);
    const key = { share, priority: priorityOf(item, now), order };
    this.#ranks.get(rank)!.add(item, key);
    return { item, rank, ...key };
  }

  /**
   * Returns the work that an account counts as received once it waits in a
   * rank: at least that of the accounts it competes with, so that idle time
   * earns no credit. Those that wait only in later ranks do not count, as they
   * may have waited without any start for long.
   */
  #workOnEntry(share: AccountShare | undefined, rank: Rank): Milliseconds {
    const received = share?.virtualTime ?? 0;
    let least = Infinity;
    for (const [other, queue] of this.#ranks) {
      if (other > rank) continue;
      if (share !== undefined && queue.has(share)) return received;
      least = Math.min(least, queue.leastWork);
    }
    return Math.max(received, least === Infinity ? this.#clock : least);
  }

  #setWork(share: AccountShare, work: Milliseconds): void {
    share.virtualTime = work;
    for (const queue of this.#ranks.values()) queue.reorder(share);
  }
}
