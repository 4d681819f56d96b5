import {
  type ClientAccountId,
  Heap,
  type Milliseconds,
} from "@wasabivane/common";
import type { Ask } from "./types.ts";

/** One request in the queue. */
export interface Waiting {
  readonly ask: Ask;
  /** Prompt and expected output. */
  readonly expectedTokens: number;
  readonly expectedMs: Milliseconds;
  readonly latestStart: Milliseconds;
  /** Place among the requests of its account and tier, the least first. */
  readonly key: number;
  readonly since: Milliseconds;
  /** It left the queue; heaps drop it when they meet it. */
  isGone: boolean;
  /** It waits for an upstream that holds its prefix, until then at most. */
  heldUntil?: Milliseconds;
}

/** Waiting tokens are counted by the power of two of their request's length. */
const LENGTH_CLASSES = 24;

/** The waiting requests of one account in one tier. */
export class AccountLane {
  readonly account: ClientAccountId;
  /** Served tokens, comparable only within the tier. */
  served = 0;
  /** Whether the lane is in its tier's heap. */
  isReady = false;
  size = 0;
  tokens = 0;
  #heap = new Heap<Waiting>(isEarlier);
  readonly #tokensByClass = new Float64Array(LENGTH_CLASSES);

  constructor(account: ClientAccountId) {
    this.account = account;
  }

  add(waiting: Waiting): void {
    this.size++;
    this.tokens += waiting.expectedTokens;
    this.#tokensByClass[classOf(waiting.expectedTokens)]! +=
      waiting.expectedTokens;
    this.#heap.push(waiting);
  }

  /** Counts out a request that left; the heap drops it later. */
  forget(waiting: Waiting): void {
    this.size--;
    this.tokens -= waiting.expectedTokens;
    this.#tokensByClass[classOf(waiting.expectedTokens)]! -=
      waiting.expectedTokens;
    if (this.#heap.size > 64 + 2 * this.size) this.#rebuild();
  }

  /** The first request that has not left; it is put back or forgotten. */
  pop(): Waiting | undefined {
    let first = this.#heap.pop();
    while (first?.isGone) first = this.#heap.pop();
    return first;
  }

  putBack(waiting: Waiting): void {
    this.#heap.push(waiting);
  }

  /** Waiting tokens of shorter requests, and half of those about as long. */
  tokensShorterThan(expectedTokens: number): number {
    const own = classOf(expectedTokens);
    let tokens = this.#tokensByClass[own]! / 2;
    for (let index = 0; index < own; index++) {
      tokens += this.#tokensByClass[index]!;
    }
    return tokens;
  }

  /** The requests that wait here, in no order. */
  waiting(): Waiting[] {
    const found: Waiting[] = [];
    for (let next = this.pop(); next !== undefined; next = this.pop()) {
      found.push(next);
    }
    found.forEach((waiting) => this.#heap.push(waiting));
    return found;
  }

  #rebuild(): void {
    const kept = this.waiting();
    this.#heap = new Heap(isEarlier);
    kept.forEach((waiting) => this.#heap.push(waiting));
  }
}

function isEarlier(left: Waiting, right: Waiting): boolean {
  return left.key < right.key;
}

function classOf(tokens: number): number {
  const index = Math.floor(Math.log2(Math.max(1, tokens)));
  return Math.min(LENGTH_CLASSES - 1, index);
}
