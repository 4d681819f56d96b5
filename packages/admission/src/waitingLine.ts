import type { Milliseconds, RequestId, Tier } from "@wasabivane/common";
import { ShortRoom } from "./shortRoom.ts";
import { type Rank, StartRates } from "./startRates.ts";

/** How often the pace of a line is held against its late requests; it changes slowly. */
const PACE_CHECK_MS: Milliseconds = 100;

/** Order of the requests of one tier. */
const BEGUN = 0;
const ON_TIME = 1;
const LATE = 2;
const PLACES = 3;

/** A request in a line. */
export interface Waiter {
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
export interface Outlook {
  /** Requests that start before it as long as it is as urgent as now. */
  readonly ahead: number;
  /** Starts a second of requests like it; `undefined` while that is not known. */
  readonly startsPerSecond: number | undefined;
  /** Time until it starts at that pace. */
  readonly wait: Milliseconds;
}

/**
 * Orders the requests that wait for one service: the most urgent tier first; within
 * it those that go on with begun work; then those that can still be on time, earliest
 * due first; then those that are late anyway, in order of arrival. Short work of lower
 * tiers has a bounded room of its own, see {@link ShortRoom}.
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
export class WaitingLine<Item extends Waiter> {
  readonly #items: Item[] = [];
  readonly #rates = new StartRates();
  readonly #room = new ShortRoom();
  #pacedAt: Milliseconds = -Infinity;

  get size(): number {
    return this.#items.length;
  }

  push(item: Item, now: Milliseconds): void {
    this.#rates.pass(this.size > 0, now);
    this.#items.push(item);
  }

  /** Takes out a request that starts. */
  start(request: RequestId, now: Milliseconds): Item | undefined {
    this.#rates.pass(this.size > 0, now);
    const item = this.remove(request);
    if (item === undefined) return undefined;
    this.#rates.count(rankOf(item, now));
    const isPassing = this.#items.some(({ tier }) => tier < item.tier);
    this.#room.noteStart(item, isPassing);
    return item;
  }

  remove(request: RequestId): Item | undefined {
    const index = this.#items.findIndex((item) => item.request === request);
    return index < 0 ? undefined : this.#items.splice(index, 1)[0];
  }

  /**
   * Takes out the requests that are of no use any more, and those that are late and
   * will not start in time at the pace of the line.
   */
  takeUseless(now: Milliseconds): Item[] {
    this.#rates.pass(this.size > 0, now);
    const useless = this.#items.filter((item) =>
      !isBegun(item) && item.usefulUntil <= now
    );
    for (const { request } of useless) this.remove(request);
    return [...useless, ...this.#takeOutpaced(now)];
  }

  /** Takes out late requests that will not start in time behind those before them. */
  #takeOutpaced(now: Milliseconds): Item[] {
    if (now - this.#pacedAt < PACE_CHECK_MS) return [];
    this.#pacedAt = now;
    const outpaced: Item[] = [];
    const ahead = new Map<Rank, number>();
    for (const item of this.inOrder(now)) {
      if (!isLate(item, now)) continue;
      const rank = rankOf(item, now);
      const count = ahead.get(rank) ?? 0;
      const startsAt = now + this.#rates.waitBehind(count, rank);
      if (startsAt > item.usefulUntil) outpaced.push(item);
      else ahead.set(rank, count + 1);
    }
    for (const { request } of outpaced) this.remove(request);
    return outpaced;
  }

  /**
   * Whether a request, waiting or not, will start too late at the pace of the line.
   * With nobody ahead it may start at once and is never refused for a belief.
   */
  isHopeless(item: Waiter, now: Milliseconds): boolean {
    if (isBegun(item)) return false;
    const { ahead, wait } = this.outlook(item, now);
    return ahead > 0 && now + wait > item.usefulUntil;
  }

  /** What the line promises a request, waiting or not. */
  outlook(item: Waiter, now: Milliseconds): Outlook {
    const outlook = this.#outlookAs(isLate(item, now), item, now);
    const willBeLate = now + outlook.wait > item.onTimeUntil;
    if (isLate(item, now) || !willBeLate) return outlook;
    const asLate = this.#outlookAs(true, item, now);
    return { ...asLate, wait: item.onTimeUntil - now + asLate.wait };
  }

  /** The requests in the order in which they should start. */
  inOrder(now: Milliseconds): Item[] {
    const others = this.#inTurn(now);
    const passing = this.#passing(others, now);
    if (passing.length === 0) return others;
    const isPassing = new Set(passing);
    return [...passing, ...others.filter((item) => !isPassing.has(item))];
  }

  /** Short work that may be started before all that is more urgent. */
  #passing(inTurn: readonly Item[], now: Milliseconds): Item[] {
    return this.#room.passing(inTurn.filter((item) => !isLate(item, now)));
  }

  #inTurn(now: Milliseconds): Item[] {
    const ranked = this.#items.map((item) => ({
      item,
      rank: rankOf(item, now),
      turn: turnOf(item, now),
    }));
    ranked.sort((left, right) =>
      left.rank - right.rank || left.turn - right.turn
    );
    return ranked.map(({ item }) => item);
  }

  #outlookAs(late: boolean, item: Waiter, now: Milliseconds): Outlook {
    const rank = rankOf(item, now, late);
    let ahead = 0;
    for (const other of this.#items) {
      if (other.request === item.request || rankOf(other, now) !== rank) {
        continue;
      }
      if (compare(other, item, now) <= 0) ahead++;
    }
    return {
      ahead,
      startsPerSecond: this.#rates.perSecond(rank),
      wait: this.#rates.waitBehind(ahead, rank),
    };
  }
}

/** Whether a request is as urgent as another one and due at most so long after it. */
export function isDueWithin(
  span: Milliseconds,
  { first, other, now }: { first: Waiter; other: Waiter; now: Milliseconds },
): boolean {
  return rankOf(first, now) === rankOf(other, now) &&
    turnOf(other, now) <= turnOf(first, now) + span;
}

function isBegun({ isContinuation }: Waiter): boolean {
  return isContinuation === true;
}

/** Begun work is never late in the sense of the order. */
function isLate(item: Waiter, now: Milliseconds): boolean {
  return !isBegun(item) && item.onTimeUntil <= now;
}

function rankOf(
  item: Waiter,
  now: Milliseconds,
  late = isLate(item, now),
): Rank {
  const place = isBegun(item) ? BEGUN : late ? LATE : ON_TIME;
  return PLACES * item.tier + place;
}

function compare(left: Waiter, right: Waiter, now: Milliseconds): number {
  const rank = rankOf(left, now) - rankOf(right, now);
  return rank !== 0 ? rank : turnOf(left, now) - turnOf(right, now);
}

/** Order within a rank: earliest due first, what is late or begun by its arrival. */
function turnOf(item: Waiter, now: Milliseconds): Milliseconds {
  return isLate(item, now) || isBegun(item) ? item.since : item.onTimeUntil;
}
