import { Heap, type Milliseconds } from "@wasabivane/common";
import { type AccountShare, isTurnBefore, type Turn } from "./accountShares.ts";
import type { SortedQueue } from "./sortedQueue.ts";
import type { WorkSteps } from "./workSteps.ts";

/** Waiting requests of one account and rank, and the turn of the first one. */
export interface AccountQueue<Item> extends Turn {
  readonly share: AccountShare;
  readonly items: SortedQueue<Item>;
  step: number;
  priority: Milliseconds;
  order: number;
  /** Slot time of all items. */
  work: Milliseconds;
  /** No item has a shorter slot time. */
  leastSlotTime: Milliseconds;
}

/** What to do with a request in start order. */
export type Visit = "start" | "skip" | "stop";

/**
 * Work that accounts will have received after the starts that are planned but
 * not yet made.
 */
export type PlannedWork = Map<AccountShare, Milliseconds>;

/** Options of a {@link FairWalk}. */
export interface FairWalkOptions {
  readonly planned: PlannedWork;
  /** Accounts with only longer requests may be left out. */
  readonly maximumSlotTime?: Milliseconds;
}

/** Turn of the next request of an account; moves on with the walk. */
interface Cursor<Item> extends Turn {
  readonly queue: AccountQueue<Item>;
  index: number;
  work: Milliseconds;
  step: number;
  priority: Milliseconds;
  order: number;
}

/**
 * One pass over the requests of a rank in start order. Its cost depends on the
 * requests that are visited, not on the number of accounts.
 */
export class FairWalk<Item extends { readonly slotTime: Milliseconds }> {
  /** Queues by turn. */
  readonly #queues: readonly AccountQueue<Item>[];
  readonly #steps: WorkSteps;
  readonly #planned: PlannedWork;
  readonly #maximumSlotTime: Milliseconds;
  /** Cursors of accounts with visited requests or planned starts. */
  readonly #changed = new Heap<Cursor<Item>>(isTurnBefore);
  #nextQueue = 0;

  constructor(
    { queues, steps }: {
      queues: readonly AccountQueue<Item>[];
      steps: WorkSteps;
    },
    { planned, maximumSlotTime = Infinity }: FairWalkOptions,
  ) {
    this.#queues = queues;
    this.#steps = steps;
    this.#planned = planned;
    this.#maximumSlotTime = maximumSlotTime;
  }

  /**
   * Visits items, as if those with the result "start" had started, until a
   * visit returns "stop" or none is left.
   */
  run(visit: (item: Item) => Visit): void {
    for (let next = this.#next(); next; next = this.#next()) {
      if (this.#visitAccount(next, visit) === "stop") return;
    }
  }

  /** Returns the position of the account whose turn is next. */
  #next(): Cursor<Item> | undefined {
    for (;;) {
      const queue = this.#queues[this.#nextQueue];
      const first = this.#changed.peek();
      if (first !== undefined && !isNext(queue, first)) {
        return this.#changed.pop();
      }
      if (queue === undefined) return undefined;
      this.#nextQueue++;
      if (queue.leastSlotTime > this.#maximumSlotTime) continue;
      const { share, step, priority, order } = queue;
      const planned = this.#planned.get(share);
      const cursor = {
        queue,
        index: 0,
        work: planned ?? share.virtualTime,
        step: planned === undefined ? step : this.#steps.of(planned),
        priority,
        order,
      };
      if (cursor.step === step) return cursor;
      this.#changed.push(cursor);
    }
  }

  /** Visits the items of one account until another account is next. */
  #visitAccount(cursor: Cursor<Item>, visit: (item: Item) => Visit): Visit {
    const { share, items } = cursor.queue;
    const fresh = this.#queues[this.#nextQueue];
    const changed = this.#changed.peek();
    const before = cursor.work;
    let isOtherNext = false;
    while (!isOtherNext && cursor.index < items.size) {
      const item = items.items[cursor.index]!;
      const visited = visit(item);
      if (visited === "stop") return visited;
      cursor.index++;
      if (visited === "start") cursor.work += item.slotTime;
      if (cursor.index === items.size) break;
      cursor.step = this.#steps.of(cursor.work);
      const next = items.keyAt(cursor.index)!;
      cursor.priority = next.priority;
      cursor.order = next.order;
      isOtherNext = isNext(fresh, cursor) || isNext(changed, cursor);
    }
    if (cursor.work > before) this.#planned.set(share, cursor.work);
    if (isOtherNext) this.#changed.push(cursor);
    return "start";
  }
}

function isNext(turn: Turn | undefined, other: Turn): boolean {
  return turn !== undefined && isTurnBefore(turn, other);
}
