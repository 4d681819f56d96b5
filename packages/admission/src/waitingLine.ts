import type { Milliseconds, RequestId, Tier } from "@wasabivane/common";

/** A request in a line. */
export interface Waiter {
  readonly request: RequestId;
  readonly tier: Tier;
  readonly since: Milliseconds;
  /** Started until then, its answer is still on time. */
  readonly onTimeUntil: Milliseconds;
  /** Started later, its answer is of no use to the caller. */
  readonly usefulUntil: Milliseconds;
}

/**
 * Orders the requests that wait for one service: the most urgent tier first;
 * within it those that can still be on time, earliest due first; then those that
 * are late anyway, in order of arrival.
 *
 * Answers the load pattern of a burst above capacity. First come, first served
 * would make every request late in turn; serving those that can still be on
 * time keeps most of a burst on time and the rest late, but served.
 */
export class WaitingLine<Item extends Waiter> {
  readonly #items: Item[] = [];

  get size(): number {
    return this.#items.length;
  }

  push(item: Item): void {
    this.#items.push(item);
  }

  remove(request: RequestId): Item | undefined {
    const index = this.#items.findIndex((item) => item.request === request);
    return index < 0 ? undefined : this.#items.splice(index, 1)[0];
  }

  /** Takes out the requests that are of no use any more. */
  takeUseless(now: Milliseconds): Item[] {
    const useless = this.#items.filter(({ usefulUntil }) => usefulUntil <= now);
    for (const { request } of useless) this.remove(request);
    return useless;
  }

  /** The requests in the order in which they should start. */
  inOrder(now: Milliseconds): Item[] {
    return [...this.#items].sort((left, right) => compare(left, right, now));
  }

  /** Requests that would start before a new one of the tier. */
  aheadOf(tier: Tier): number {
    let ahead = 0;
    for (const item of this.#items) if (item.tier <= tier) ahead++;
    return ahead;
  }

  /** Counts by tier, for the peers. */
  counts(): ReadonlyMap<Tier, number> {
    const counts = new Map<Tier, number>();
    for (const { tier } of this.#items) {
      counts.set(tier, (counts.get(tier) ?? 0) + 1);
    }
    return counts;
  }
}

function compare(left: Waiter, right: Waiter, now: Milliseconds): number {
  if (left.tier !== right.tier) return left.tier - right.tier;
  const isLeftOnTime = left.onTimeUntil > now;
  const isRightOnTime = right.onTimeUntil > now;
  if (isLeftOnTime !== isRightOnTime) return isLeftOnTime ? -1 : 1;
  return isLeftOnTime
    ? left.onTimeUntil - right.onTimeUntil
    : left.since - right.since;
}
