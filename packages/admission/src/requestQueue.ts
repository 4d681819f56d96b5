import type { Milliseconds, RequestId, Tier } from "@wasabivane/common";
import { BypassBudget } from "./bypassBudget.ts";
import { SortedQueue } from "./sortedQueue.ts";
import { type Rank, StartRates } from "./startRates.ts";

/** How often the pace of a line is held against its late requests; it changes slowly. */
const PACE_CHECK_MS: Milliseconds = 100;

/** Order of the requests of one tier. */
const BEGUN = 0;
const ON_TIME = 1;
const LATE = 2;
const PLACES = 3;

/** A request in a line. */
export interface QueuedRequest {
  readonly request: RequestId;
  readonly tier: Tier;
  readonly since: Milliseconds;
  /** Started until then, its answer is on time. */
  readonly onTimeUntil: Milliseconds;
  /** Started later, its answer is of no use to the caller. */
  readonly usefulUntil: Milliseconds;
  /** Expected time in a place, above 0. */
  readonly hold: Milliseconds;
  /** It goes on with work that an upstream began and that its caller still waits for. */
  readonly isContinuation?: boolean;
}

/** What a line promises one of its requests, or one that would join it. */
export interface QueueEstimate {
  /** Requests that start before it as long as it is as urgent as now. */
  readonly ahead: number;
  /** Starts a second of requests like it; `undefined` while that is not known. */
  readonly startsPerSecond: number | undefined;
  /** Time until it starts at that pace. */
  readonly wait: Milliseconds;
}

/** A request of the line, and where in its queue it stands. */
interface Queued<Item> {
  readonly item: Item;
  readonly rank: Rank;
  readonly turn: Milliseconds;
  readonly order: number;
}

/**
 * Orders the requests that wait for one service: the most urgent tier first; within
 * it those that go on with begun work; then those that can still be on time, earliest
 * due first; then those that are late anyway, in order of arrival. Short work of lower
 * tiers has a bounded room of its own, see {@link BypassBudget}.
 *
 * Answers the load pattern of a burst above capacity. First come, first served
 * would make every request late in turn; serving those that can still be on
 * time keeps most of a burst on time and the rest late, but served. The length of an
 * answer does not count among equals: with short ones first, the longest starve in
 * lasting overload. What will not start while it is of use is told so as soon as the
 * pace of the line shows it, so that its caller can come back instead of waiting in
 * vain. Begun work is never told so: most of it is done, and what was passed on would
 * break off.
 */
export class RequestQueue<Item extends QueuedRequest> {
  readonly #queued = new Map<RequestId, Queued<Item>>();
  /** By rank; those of a rank are in the order in which they should start. */
  readonly #queues = new Map<Rank, SortedQueue<Item>>();
  readonly #rates = new StartRates();
  readonly #room = new BypassBudget();
  #pushed = 0;
  /** Before this time no request of the line is of no use any more. */
  #uselessFrom: Milliseconds = Infinity;
  #pacedAt: Milliseconds = -Infinity;

  get size(): number {
    return this.#queued.size;
  }

  /** Whether something has waited for a good part of the last seconds. */
  get isBacklogged(): boolean {
    return this.#rates.isKnown;
  }

  push(item: Item, now: Milliseconds): void {
    this.#rates.advance(this.size > 0, now);
    this.remove(item.request);
    this.#add(item, this.#pushed++, now);
    if (isBegun(item)) return;
    this.#uselessFrom = Math.min(this.#uselessFrom, item.usefulUntil);
  }

  /** Takes out a request that starts. */
  start(request: RequestId, now: Milliseconds): Item | undefined {
    this.#rates.advance(this.size > 0, now);
    const item = this.remove(request);
    if (item === undefined) return undefined;
    this.#rates.recordStart(rankOf(item, now));
    this.#room.recordStart(item, this.#hasAbove(item.tier));
    return item;
  }

  remove(request: RequestId): Item | undefined {
    const queued = this.#queued.get(request);
    if (queued === undefined) return undefined;
    this.#queued.delete(request);
    this.#queues.get(queued.rank)!.remove(queued.turn, queued.order);
    return queued.item;
  }

  /**
   * Takes out the requests that are of no use any more, and those that are late and
   * will not start in time at the pace of the line.
   */
  removeUnservable(now: Milliseconds): Item[] {
    this.#rates.advance(this.size > 0, now);
    return [...this.#takeExpired(now), ...this.#takeOutpaced(now)];
  }

  #takeExpired(now: Milliseconds): Item[] {
    if (now < this.#uselessFrom) return [];
    const expired: Item[] = [];
    this.#uselessFrom = Infinity;
    for (const { item } of this.#queued.values()) {
      if (isBegun(item)) continue;
      if (item.usefulUntil <= now) expired.push(item);
      else this.#uselessFrom = Math.min(this.#uselessFrom, item.usefulUntil);
    }
    for (const { request } of expired) this.remove(request);
    return expired;
  }

  /** Takes out late requests that will not start in time behind those before them. */
  #takeOutpaced(now: Milliseconds): Item[] {
    if (now - this.#pacedAt < PACE_CHECK_MS) return [];
    this.#pacedAt = now;
    this.#noteLate(now);
    const outpaced: Item[] = [];
    for (const rank of this.#ranks()) {
      if (!isRankOfLate(rank)) continue;
      let ahead = 0;
      for (const item of this.#queues.get(rank)!.items) {
        const startsAt = now + this.#rates.estimateWait(ahead, [rank]);
        if (startsAt > item.usefulUntil) outpaced.push(item);
        else ahead++;
      }
    }
    for (const { request } of outpaced) this.remove(request);
    return outpaced;
  }

  /**
   * Whether a request, waiting or not, will start too late at the pace of the line: for
   * any use, or for an answer on time while it could still be. With nobody ahead it may
   * start at once and is never refused for a belief.
   */
  shouldRefuse(item: QueuedRequest, now: Milliseconds): boolean {
    if (isBegun(item)) return false;
    const { ahead, wait } = this.estimate(item, now);
    if (ahead === 0) return false;
    const until = isLate(item, now) ? item.usefulUntil : item.onTimeUntil;
    return now + wait > until;
  }

  /** What the line promises a request, waiting or not. */
  estimate(item: QueuedRequest, now: Milliseconds): QueueEstimate {
    this.#noteLate(now);
    const rank = rankOf(item, now);
    if (isRankOfLate(rank)) {
      const ahead = this.#aheadOf(item, rank, now);
      const startsPerSecond = this.#rates.perSecond([rank]);
      return {
        ahead,
        startsPerSecond,
        wait: this.#rates.estimateWait(ahead, [rank]),
      };
    }
    const ranks = ranksOf(item.tier);
    const begun = isBegun(item)
      ? 0
      : this.#queues.get(ranks[BEGUN]!)?.size ?? 0;
    const ahead = begun + this.#aheadOf(item, rank, now);
    return {
      ahead,
      startsPerSecond: this.#rates.perSecond(ranks),
      wait: this.#rates.estimateWait(ahead, ranks),
    };
  }

  /** The requests in the order in which they should start, the first `most` of them. */
  inOrder(now: Milliseconds, most = Infinity): Item[] {
    this.#noteLate(now);
    const ranks = this.#ranks();
    const order = this.#passing(ranks);
    const isPassing = new Set(order);
    for (const rank of ranks) {
      for (const item of this.#queues.get(rank)!.items) {
        if (order.length >= most) return order;
        if (!isPassing.has(item)) order.push(item);
      }
    }
    return order;
  }

  /** Short work that may be started before all that is more urgent. */
  #passing(ranks: readonly Rank[]): Item[] {
    const turn = this.#room.startSelection();
    const passing: Item[] = [];
    for (const rank of ranks) {
      const mayPass = !isRankOfLate(rank) && turn.isTierAllowed(tierOf(rank));
      if (!mayPass) continue;
      for (const item of this.#queues.get(rank)!.items) {
        if (turn.take(item)) passing.push(item);
      }
    }
    return passing;
  }

  #add(item: Item, order: number, now: Milliseconds): void {
    const rank = rankOf(item, now);
    const turn = turnOf(item, now);
    let queue = this.#queues.get(rank);
    if (queue === undefined) {
      queue = new SortedQueue();
      this.#queues.set(rank, queue);
    }
    queue.add(item, turn, order);
    this.#queued.set(item.request, { item, rank, turn, order });
  }

  /** Requests that have become late go to the queue of those. */
  #noteLate(now: Milliseconds): void {
    for (const [rank, queue] of this.#queues) {
      if (!isRankOfPunctual(rank)) continue;
      for (let [item] = queue.items; item; [item] = queue.items) {
        if (!isLate(item, now)) break;
        const { order } = this.#queued.get(item.request)!;
        this.remove(item.request);
        this.#add(item, order, now);
      }
    }
  }

  #ranks(): Rank[] {
    return [...this.#queues.keys()].toSorted((left, right) => left - right);
  }

  #hasAbove(tier: Tier): boolean {
    for (const [rank, { size }] of this.#queues) {
      if (size > 0 && rank < PLACES * tier) return true;
    }
    return false;
  }

  /** Others of its rank whose turn comes no later. */
  #aheadOf(item: QueuedRequest, rank: Rank, now: Milliseconds): number {
    const count = this.#queues.get(rank)?.countUpTo(turnOf(item, now)) ?? 0;
    const isCounted = this.#queued.get(item.request)?.rank === rank;
    return isCounted ? count - 1 : count;
  }
}

/** Whether a request is as urgent as another one and due at most so long after it. */
export function isDueWithin(
  span: Milliseconds,
  { first, other, now }: {
    first: QueuedRequest;
    other: QueuedRequest;
    now: Milliseconds;
  },
): boolean {
  return rankOf(first, now) === rankOf(other, now) &&
    turnOf(other, now) <= turnOf(first, now) + span;
}

function isBegun({ isContinuation }: QueuedRequest): boolean {
  return isContinuation === true;
}

/** Begun work is never late in the sense of the order. */
function isLate(item: QueuedRequest, now: Milliseconds): boolean {
  return !isBegun(item) && item.onTimeUntil <= now;
}

function rankOf(item: QueuedRequest, now: Milliseconds): Rank {
  const place = isBegun(item) ? BEGUN : isLate(item, now) ? LATE : ON_TIME;
  return PLACES * item.tier + place;
}

/** All ranks of a tier, by their place in it. */
function ranksOf(tier: Tier): Rank[] {
  return [BEGUN, ON_TIME, LATE].map((place) => PLACES * tier + place);
}

function tierOf(rank: Rank): Tier {
  return Math.floor(rank / PLACES) as Tier;
}

function isRankOfLate(rank: Rank): boolean {
  return rank % PLACES === LATE;
}

function isRankOfPunctual(rank: Rank): boolean {
  return rank % PLACES === ON_TIME;
}

/** Order within a rank: earliest due first, what is late or begun by its arrival. */
function turnOf(item: QueuedRequest, now: Milliseconds): Milliseconds {
  return isLate(item, now) || isBegun(item) ? item.since : item.onTimeUntil;
}
