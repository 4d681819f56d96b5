import type { Milliseconds } from "@wasabivane/common";
import { type AccountShare, isTurnBefore, type Turn } from "./accountShares.ts";
import {
  type AccountQueue,
  FairWalk,
  type FairWalkOptions,
  type Visit,
} from "./fairWalk.ts";
import { SortedQueue } from "./sortedQueue.ts";
import type { WorkSteps } from "./workSteps.ts";

/** Key of a request in the queue of its account. */
export interface RankKey {
  readonly share: AccountShare;
  readonly priority: Milliseconds;
  readonly order: number;
}

const NONE: readonly never[] = [];

/**
 * Queue of the requests of one rank. The account that has received the least
 * work goes first; within an account, and among accounts that have received
 * about the same work, requests go by priority value.
 */
export class RankQueue<Item extends { readonly slotTime: Milliseconds }> {
  readonly #steps: WorkSteps;
  readonly #accounts = new Map<AccountShare, AccountQueue<Item>>();
  /** Queues of the accounts by turn. */
  readonly #byTurn: AccountQueue<Item>[] = [];
  #size = 0;
  /** No item has a lower priority value. */
  #leastPriority: Milliseconds = Infinity;

  constructor(steps: WorkSteps) {
    this.#steps = steps;
  }

  get size(): number {
    return this.#size;
  }

  /** Work received by the account whose turn is next; infinite if none waits. */
  get leastWork(): Milliseconds {
    return this.#byTurn[0]?.share.virtualTime ?? Infinity;
  }

  has(share: AccountShare): boolean {
    return this.#accounts.has(share);
  }

  add(item: Item, { share, priority, order }: RankKey): void {
    const queue = this.#accounts.get(share) ??
      this.#join({ share, priority, order });
    queue.items.add(item, priority, order);
    queue.work += item.slotTime;
    queue.leastSlotTime = Math.min(queue.leastSlotTime, item.slotTime);
    this.#size++;
    this.#leastPriority = Math.min(this.#leastPriority, priority);
    this.#reorder(queue);
  }

  remove(item: Item, { share, priority, order }: RankKey): void {
    const queue = this.#accounts.get(share)!;
    queue.items.remove(priority, order);
    queue.work -= item.slotTime;
    this.#size--;
    if (queue.items.size > 0) return this.#reorder(queue);
    this.#byTurn.splice(this.#indexOf(queue), 1);
    this.#accounts.delete(share);
  }

  /** Adapts the order after an account has received work. */
  reorder(share: AccountShare): void {
    const queue = this.#accounts.get(share);
    if (queue !== undefined) this.#reorder(queue);
  }

  /** Sorts all accounts again after the size of the steps has changed. */
  sort(): void {
    for (const queue of this.#byTurn) {
      queue.step = this.#steps.of(queue.share.virtualTime);
    }
    this.#byTurn.sort((left, right) => isTurnBefore(left, right) ? -1 : 1);
  }

  #join(key: RankKey): AccountQueue<Item> {
    const { share } = key;
    const queue = {
      ...key,
      items: new SortedQueue<Item>(),
      step: this.#steps.of(share.virtualTime),
      work: 0,
      leastSlotTime: Infinity,
    };
    this.#accounts.set(share, queue);
    this.#byTurn.splice(this.#indexOf(queue), 0, queue);
    return queue;
  }

  #reorder(queue: AccountQueue<Item>): void {
    const step = this.#steps.of(queue.share.virtualTime);
    const { priority, order } = queue.items.keyAt(0)!;
    if (step === queue.step && order === queue.order) return;
    const isAlone = this.#byTurn.length === 1;
    if (!isAlone) this.#byTurn.splice(this.#indexOf(queue), 1);
    queue.step = step;
    queue.priority = priority;
    queue.order = order;
    if (!isAlone) this.#byTurn.splice(this.#indexOf(queue), 0, queue);
  }

  /** Returns the index of the first account that is not before a turn. */
  #indexOf(turn: Turn): number {
    let low = 0;
    let high = this.#byTurn.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (isTurnBefore(this.#byTurn[middle]!, turn)) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** Returns the items up to a priority value, in no particular order. */
  itemsUpTo(priority: Milliseconds): readonly Item[] {
    if (priority < this.#leastPriority) return NONE;
    const found: Item[] = [];
    this.#leastPriority = Infinity;
    for (const queue of this.#byTurn) {
      const count = countUpTo(queue, priority);
      for (let index = 0; index < count; index++) {
        found.push(queue.items.items[index]!);
      }
      const next = queue.items.keyAt(count)?.priority ?? Infinity;
      this.#leastPriority = Math.min(this.#leastPriority, next);
    }
    return found;
  }

  /**
   * Returns the number of items of all accounts up to a priority value; stops
   * counting at `enough`.
   */
  countUpTo(priority: Milliseconds, enough: number): number {
    let count = 0;
    for (const queue of this.#byTurn) {
      if (count >= enough) break;
      count += countUpTo(queue, priority);
    }
    return count;
  }

  /**
   * Returns the number of requests that start before one of an account that
   * waits or would wait here. Requests count with the mean slot time of their
   * account, so that a step for each account suffices.
   */
  countAhead(
    { share, work, priority, isQueued, enough }: {
      share: AccountShare | undefined;
      /** Work that its account has received before its first request. */
      work: Milliseconds;
      priority: Milliseconds;
      /** Whether the request itself is queued here. */
      isQueued: boolean;
      /** Count at which to stop. */
      enough: number;
    },
  ): number {
    const queue = share === undefined ? undefined : this.#accounts.get(share);
    const upTo = queue?.items.countUpTo(priority) ?? 0;
    const own = isQueued ? upTo - 1 : upTo;
    const ownWork = queue === undefined ? 0 : own * meanSlotTime(queue);
    const step = this.#steps.of(work + ownWork);
    let ahead = own;
    for (const other of this.#byTurn) {
      if (ahead >= enough || !canBeBefore(other, { step, priority })) break;
      if (other === queue) continue;
      ahead += countBefore(other, { step, priority, steps: this.#steps });
    }
    return ahead;
  }

  /**
   * Visits the items in start order, as if those with the result "start" had
   * started, until a visit returns "stop".
   */
  walk(visit: (item: Item) => Visit, options: FairWalkOptions): void {
    if (this.#size === 0) return;
    const queues = { queues: this.#byTurn, steps: this.#steps };
    new FairWalk(queues, options).run(visit);
  }
}

function meanSlotTime({ work, items }: AccountQueue<unknown>): Milliseconds {
  return work / items.size;
}

/** Returns the number of requests of an account up to a priority value. */
function countUpTo(
  queue: AccountQueue<unknown>,
  priority: Milliseconds,
): number {
  return queue.priority > priority ? 0 : queue.items.countUpTo(priority);
}

/** Whether a request of an account, or of one with a later turn, can be before. */
function canBeBefore(
  queue: AccountQueue<unknown>,
  { step, priority }: Omit<Turn, "order">,
): boolean {
  return queue.step < step ||
    queue.step === step && queue.priority <= priority;
}

/** Returns how many requests of an account start before a turn. */
function countBefore(
  queue: AccountQueue<unknown>,
  { step, priority, steps }: Omit<Turn, "order"> & { steps: WorkSteps },
): number {
  const inSteps = countWithin(queue, steps.workBefore(step));
  if (inSteps === queue.items.size) return inSteps;
  const withStep = countWithin(queue, steps.workBefore(step + 1));
  return Math.max(inSteps, Math.min(withStep, countUpTo(queue, priority)));
}

/** Returns how many requests of an account start before it has received work. */
function countWithin(
  queue: AccountQueue<unknown>,
  work: Milliseconds,
): number {
  const remaining = work - queue.share.virtualTime;
  const count = Math.max(0, Math.ceil(remaining / meanSlotTime(queue)));
  return Math.min(queue.items.size, count);
}
