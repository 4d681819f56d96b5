import { Heap, type Milliseconds } from "@wasabivane/common";
import {
  type AccountShare,
  isTurnBefore,
  type ShareTurn,
} from "./accountShares.ts";
import type { SortedQueue } from "./sortedQueue.ts";

/** Waiting requests of one account and rank. */
export interface AccountQueue<Item> {
  readonly share: AccountShare;
  readonly items: SortedQueue<Item>;
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

/** Position in the queue of an account; moves on with the walk. */
interface Cursor<Item> extends ShareTurn {
  readonly queue: AccountQueue<Item>;
  index: number;
  virtualTime: Milliseconds;
}

/**
 * One pass over the requests of a rank in start order. Its cost depends on the
 * requests that are visited, not on the number of accounts.
 */
export class FairWalk<Item extends { readonly slotTime: Milliseconds }> {
  /** Queues by received work. */
  readonly #queues: readonly AccountQueue<Item>[];
  readonly #planned: PlannedWork;
  readonly #maximumSlotTime: Milliseconds;
  /** Cursors of accounts with planned starts. */
  readonly #changed = new Heap<Cursor<Item>>(isTurnBefore);
  #nextQueue = 0;

  constructor(
    queues: readonly AccountQueue<Item>[],
    { planned, maximumSlotTime = Infinity }: FairWalkOptions,
  ) {
    this.#queues = queues;
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
      if (first !== undefined && !isNext(queue?.share, first)) {
        return this.#changed.pop();
      }
      if (queue === undefined) return undefined;
      this.#nextQueue++;
      if (queue.leastSlotTime > this.#maximumSlotTime) continue;
      const { virtualTime, order } = queue.share;
      const planned = this.#planned.get(queue.share);
      const cursor = {
        queue,
        index: 0,
        virtualTime: planned ?? virtualTime,
        order,
      };
      if (planned === undefined) return cursor;
      this.#changed.push(cursor);
    }
  }

  /** Visits the items of one account until another account is next. */
  #visitAccount(cursor: Cursor<Item>, visit: (item: Item) => Visit): Visit {
    const { share, items: { items } } = cursor.queue;
    const fresh = this.#queues[this.#nextQueue]?.share;
    const changed = this.#changed.peek();
    const before = cursor.virtualTime;
    let isOtherNext = false;
    while (!isOtherNext && cursor.index < items.length) {
      const item = items[cursor.index]!;
      const visited = visit(item);
      if (visited === "stop") return visited;
      cursor.index++;
      if (visited === "skip") continue;
      cursor.virtualTime += item.slotTime;
      isOtherNext = isNext(fresh, cursor) || isNext(changed, cursor);
    }
    if (cursor.virtualTime > before) {
      this.#planned.set(share, cursor.virtualTime);
    }
    if (isOtherNext) this.#changed.push(cursor);
    return "start";
  }
}

function isNext(turn: ShareTurn | undefined, other: ShareTurn): boolean {
  return turn !== undefined && isTurnBefore(turn, other);
}
