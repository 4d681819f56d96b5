import type { Milliseconds } from "@wasabivane/common";
import {
  type AccountShare,
  isTurnBefore,
  type ShareTurn,
} from "./accountShares.ts";
import {
  type AccountQueue,
  FairWalk,
  type FairWalkOptions,
  type Visit,
} from "./fairWalk.ts";
import { SortedQueue } from "./sortedQueue.ts";

/** Key of a request in the queue of its account. */
export interface RankKey {
  readonly share: AccountShare;
  readonly priority: Milliseconds;
  readonly order: number;
}

/** Numbers of requests that start before another one. */
export interface RequestsAhead {
  readonly all: number;
  /** Those of its own account. */
  readonly own: number;
}

const NONE: readonly never[] = [];

/**
 * Queue of the requests of one rank. The account that has received the least
 * work goes first; within an account, requests go by priority value.
 */
export class RankQueue<Item extends { readonly slotTime: Milliseconds }> {
  /** Received work of the account that started last from this or a prior rank. */
  clock: Milliseconds = 0;
  readonly #accounts = new Map<AccountShare, AccountQueue<Item>>();
  /** Queues of the accounts by received work. */
  readonly #byWork: AccountQueue<Item>[] = [];
  #size = 0;
  /** No item has a lower priority value. */
  #leastPriority: Milliseconds = Infinity;

  get size(): number {
    return this.#size;
  }

  /** Least work that a waiting account has received; infinite if none waits. */
  get leastWork(): Milliseconds {
    return this.#byWork[0]?.share.virtualTime ?? Infinity;
  }

  has(share: AccountShare): boolean {
    return this.#accounts.has(share);
  }

  add(item: Item, { share, priority, order }: RankKey): void {
    let queue = this.#accounts.get(share);
    if (queue === undefined) {
      queue = {
        share,
        items: new SortedQueue(),
        work: 0,
        leastSlotTime: Infinity,
      };
      this.#accounts.set(share, queue);
      this.#byWork.splice(this.#indexOf(share), 0, queue);
    }
    queue.items.add(item, priority, order);
    queue.work += item.slotTime;
    queue.leastSlotTime = Math.min(queue.leastSlotTime, item.slotTime);
    this.#size++;
    this.#leastPriority = Math.min(this.#leastPriority, priority);
  }

  remove(item: Item, { share, priority, order }: RankKey): void {
    const queue = this.#accounts.get(share)!;
    queue.items.remove(priority, order);
    queue.work -= item.slotTime;
    this.#size--;
    if (queue.items.size > 0) return;
    this.#byWork.splice(this.#indexOf(share), 1);
    this.#accounts.delete(share);
  }

  /** Takes an account out of the order before its virtual time changes. */
  detach(share: AccountShare): void {
    const isOrdered = this.#accounts.size > 1 && this.has(share);
    if (isOrdered) this.#byWork.splice(this.#indexOf(share), 1);
  }

  /** Puts an account back into the order. */
  attach(share: AccountShare): void {
    if (this.#accounts.size <= 1) return;
    const queue = this.#accounts.get(share);
    if (queue === undefined) return;
    this.#byWork.splice(this.#indexOf(share), 0, queue);
  }

  /** Returns the index of the first account that is not before a turn. */
  #indexOf(turn: ShareTurn): number {
    let low = 0;
    let high = this.#byWork.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (isTurnBefore(this.#byWork[middle]!.share, turn)) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** Returns the items up to a priority value, in no particular order. */
  itemsUpTo(priority: Milliseconds): readonly Item[] {
    if (priority < this.#leastPriority) return NONE;
    const found: Item[] = [];
    this.#leastPriority = Infinity;
    for (const { items } of this.#byWork) {
      const count = items.countUpTo(priority);
      for (let index = 0; index < count; index++) {
        found.push(items.items[index]!);
      }
      const next = items.priorityAt(count) ?? Infinity;
      this.#leastPriority = Math.min(this.#leastPriority, next);
    }
    return found;
  }

  /** Returns the number of items of all accounts up to a priority value. */
  countUpTo(priority: Milliseconds): number {
    let count = 0;
    for (const { items } of this.#byWork) {
      count += items.countUpTo(priority);
    }
    return count;
  }

  /**
   * Returns the number of requests that start before one of an account that
   * waits or would wait here. Requests of other accounts count with the mean
   * slot time of their account, so that a step for each account suffices.
   */
  countAhead(
    { share, turn, priority, isQueued }: {
      share: AccountShare | undefined;
      /** Turn of the first request of its account. */
      turn: ShareTurn;
      priority: Milliseconds;
      /** Whether the request itself is queued here. */
      isQueued: boolean;
    },
  ): RequestsAhead {
    const queue = share === undefined ? undefined : this.#accounts.get(share);
    const upTo = queue?.items.countUpTo(priority) ?? 0;
    const own = isQueued ? upTo - 1 : upTo;
    const ownWork = queue === undefined ? 0 : own * meanSlotTime(queue);
    const ownTurn = {
      virtualTime: turn.virtualTime + ownWork,
      order: turn.order,
    };
    let all = own;
    for (const other of this.#byWork) {
      if (other === queue) continue;
      if (!isTurnBefore(other.share, ownTurn)) break;
      all += countBefore(ownTurn, other);
    }
    return { all, own };
  }

  /**
   * Visits the items in start order, as if those with the result "start" had
   * started, until a visit returns "stop".
   */
  walk(visit: (item: Item) => Visit, options: FairWalkOptions): void {
    if (this.#size > 0) new FairWalk(this.#byWork, options).run(visit);
  }
}

function meanSlotTime({ work, items }: AccountQueue<unknown>): Milliseconds {
  return work / items.size;
}

/** Returns how many requests of an account start before a turn. */
function countBefore(
  turn: ShareTurn,
  queue: AccountQueue<unknown>,
): number {
  const { virtualTime, order } = queue.share;
  const starts = (turn.virtualTime - virtualTime) / meanSlotTime(queue);
  const whole = Math.floor(starts);
  const isLastBefore = starts > whole || order < turn.order;
  return Math.min(queue.items.size, isLastBefore ? whole + 1 : whole);
}
