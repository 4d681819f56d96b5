import {
  type ClientAccountId,
  Heap,
  type Milliseconds,
} from "@wasabivane/common";
import type { PlacementRequest } from "./types.ts";

/** Holds a request in the wait queue. */
export interface QueuedRequest {
  readonly placementRequest: PlacementRequest;
  /** Prompt tokens and expected output tokens. */
  readonly expectedTokens: number;
  readonly expectedMs: Milliseconds;
  latestStart: Milliseconds;
  /** Sort key among the requests of its account and tier, ascending. */
  readonly orderKey: number;
  readonly enqueuedAt: Milliseconds;
  /** Whether it was removed from the queue; heaps discard it lazily. */
  isRemoved: boolean;
  /** Latest time until which it waits for an upstream that has its prefix. */
  cacheWaitUntil?: Milliseconds;
  /** Number of tries in which no free upstream was suitable. */
  timesBlocked: number;
  /** Bit mask of the upstream groups that were free at its last try. */
  blockedGroupMask: number;
  /** Time from which these groups are tried again. */
  blockedUntil: Milliseconds;
}

/** Classes of expected tokens, by power of two. */
const LENGTH_CLASSES = 24;
/** Added to the sort key of a blocked request for each try. */
const BLOCKED_PENALTY_MS = 2_000;

/** Holds the waiting requests of one account in one tier. */
export class AccountQueue {
  readonly account: ClientAccountId;
  /** Tokens served so far, comparable only within the tier. */
  servedTokens = 0;
  /** Whether the queue is in the heap of its tier. */
  isInHeap = false;
  size = 0;
  tokens = 0;
  #untried = new Heap<QueuedRequest>(isEarlier);
  #blocked = new Heap<QueuedRequest>(isEarlierBlocked);
  readonly #tokensByClass = new Float64Array(LENGTH_CLASSES);

  constructor(account: ClientAccountId) {
    this.account = account;
  }

  /** Adds a request. */
  add(queued: QueuedRequest): void {
    this.size++;
    this.tokens += queued.expectedTokens;
    this.#tokensByClass[lengthClassOf(queued.expectedTokens)]! +=
      queued.expectedTokens;
    this.#untried.push(queued);
  }

  /** Removes a request; the heaps discard it later. */
  remove(queued: QueuedRequest): void {
    this.size--;
    this.tokens -= queued.expectedTokens;
    this.#tokensByClass[lengthClassOf(queued.expectedTokens)]! -=
      queued.expectedTokens;
    const heapEntries = this.#untried.size + this.#blocked.size;
    if (heapEntries > 64 + 2 * this.size) this.#rebuild();
  }

  /**
   * Pops the first untried request; the caller must put it back or remove it.
   */
  popUntried(): QueuedRequest | undefined {
    return popRemaining(this.#untried);
  }

  /**
   * Pops the first blocked request; the caller must put it back or remove it.
   */
  popBlocked(): QueuedRequest | undefined {
    return popRemaining(this.#blocked);
  }

  /**
   * Puts a request back as blocked, behind those that were tried less often.
   */
  pushBlocked(queued: QueuedRequest): void {
    queued.timesBlocked++;
    this.#blocked.push(queued);
  }

  /** Puts a request back without counting a try. */
  putBack(queued: QueuedRequest): void {
    if (queued.timesBlocked > 0) this.#blocked.push(queued);
    else this.#untried.push(queued);
  }

  /**
   * Returns the tokens of shorter requests and half of those in the same class.
   */
  tokensOfShorterRequests(expectedTokens: number): number {
    const ownClass = lengthClassOf(expectedTokens);
    let tokens = this.#tokensByClass[ownClass]! / 2;
    for (let index = 0; index < ownClass; index++) {
      tokens += this.#tokensByClass[index]!;
    }
    return tokens;
  }

  /** Returns all waiting requests, in no particular order. */
  list(): QueuedRequest[] {
    const remaining = [...popAll(this.#untried), ...popAll(this.#blocked)];
    remaining.forEach((queued) => this.putBack(queued));
    return remaining;
  }

  #rebuild(): void {
    const kept = this.list();
    this.#untried = new Heap(isEarlier);
    this.#blocked = new Heap(isEarlierBlocked);
    kept.forEach((queued) => this.putBack(queued));
  }
}

function popRemaining(heap: Heap<QueuedRequest>): QueuedRequest | undefined {
  let first = heap.pop();
  while (first?.isRemoved) first = heap.pop();
  return first;
}

function popAll(heap: Heap<QueuedRequest>): QueuedRequest[] {
  const remaining: QueuedRequest[] = [];
  for (let next = popRemaining(heap); next; next = popRemaining(heap)) {
    remaining.push(next);
  }
  return remaining;
}

function isEarlier(left: QueuedRequest, right: QueuedRequest): boolean {
  return left.orderKey < right.orderKey;
}

function isEarlierBlocked(left: QueuedRequest, right: QueuedRequest): boolean {
  return blockedKey(left) < blockedKey(right);
}

function blockedKey({ orderKey, timesBlocked }: QueuedRequest): number {
  return orderKey + timesBlocked * BLOCKED_PENALTY_MS;
}

function lengthClassOf(tokens: number): number {
  const index = Math.floor(Math.log2(Math.max(1, tokens)));
  return Math.min(LENGTH_CLASSES - 1, index);
}
