import {
  type ClientAccountId,
  Heap,
  type Milliseconds,
} from "@wasabivane/common";
import type { PlacementRequest } from "./types.ts";

/** One request in the queue. */
export interface QueuedRequest {
  readonly placementRequest: PlacementRequest;
  /** Prompt and expected output. */
  readonly expectedTokens: number;
  readonly expectedMs: Milliseconds;
  latestStart: Milliseconds;
  /** Place among the requests of its account and tier, the least first. */
  readonly orderKey: number;
  readonly enqueuedAt: Milliseconds;
  /** It left the queue; heaps drop it when they meet it. */
  isRemoved: boolean;
  /** It waits for an upstream that holds its prefix, until then at most. */
  cacheWaitUntil?: Milliseconds;
  /** How often it was looked at and could not start. */
  timesBlocked: number;
  /** Kinds of upstream, as bits, that could not take it when it was last looked at. */
  blockedGroupMask: number;
  /** When those kinds are worth another look. */
  blockedUntil: Milliseconds;
}

/** Waiting tokens are counted by the power of two of their request's length. */
const LENGTH_CLASSES = 24;
/** How far a request falls back each time that it could not start. */
const BLOCKED_DELAY_MS = 2_000;

/** The waiting requests of one account in one tier. */
export class AccountQueue {
  readonly account: ClientAccountId;
  /** Served tokens, comparable only within the tier. */
  servedTokens = 0;
  /** Whether the lane is in its tier's heap. */
  isInHeap = false;
  size = 0;
  tokens = 0;
  #fresh = new Heap<QueuedRequest>(isEarlier);
  #blocked = new Heap<QueuedRequest>(isEarlierAgain);
  readonly #tokensByClass = new Float64Array(LENGTH_CLASSES);

  constructor(account: ClientAccountId) {
    this.account = account;
  }

  add(waiting: QueuedRequest): void {
    this.size++;
    this.tokens += waiting.expectedTokens;
    this.#tokensByClass[classOf(waiting.expectedTokens)]! +=
      waiting.expectedTokens;
    this.#fresh.push(waiting);
  }

  /** Counts out a request that left; the heap drops it later. */
  remove(waiting: QueuedRequest): void {
    this.size--;
    this.tokens -= waiting.expectedTokens;
    this.#tokensByClass[classOf(waiting.expectedTokens)]! -=
      waiting.expectedTokens;
    const held = this.#fresh.size + this.#blocked.size;
    if (held > 64 + 2 * this.size) this.#rebuild();
  }

  /** The first request that was not looked at yet; it is blocked or forgotten next. */
  popUntried(): QueuedRequest | undefined {
    return popPresent(this.#fresh);
  }

  /** The first request that was blocked before; it is blocked or forgotten next. */
  popBlocked(): QueuedRequest | undefined {
    return popPresent(this.#blocked);
  }

  /** Keeps a request that could not start behind those that were tried less often. */
  pushBlocked(waiting: QueuedRequest): void {
    waiting.timesBlocked++;
    this.#blocked.push(waiting);
  }

  /** Keeps a request as if it had not been looked at. */
  putBack(waiting: QueuedRequest): void {
    if (waiting.timesBlocked > 0) this.#blocked.push(waiting);
    else this.#fresh.push(waiting);
  }

  /** Waiting tokens of shorter requests, and half of those about as long. */
  tokensOfShorterRequests(expectedTokens: number): number {
    const own = classOf(expectedTokens);
    let tokens = this.#tokensByClass[own]! / 2;
    for (let index = 0; index < own; index++) {
      tokens += this.#tokensByClass[index]!;
    }
    return tokens;
  }

  /** The requests that wait here, in no order. */
  waiting(): QueuedRequest[] {
    const found = [...drain(this.#fresh), ...drain(this.#blocked)];
    found.forEach((waiting) => this.putBack(waiting));
    return found;
  }

  #rebuild(): void {
    const kept = this.waiting();
    this.#fresh = new Heap(isEarlier);
    this.#blocked = new Heap(isEarlierAgain);
    kept.forEach((waiting) => this.putBack(waiting));
  }
}

function popPresent(heap: Heap<QueuedRequest>): QueuedRequest | undefined {
  let first = heap.pop();
  while (first?.isRemoved) first = heap.pop();
  return first;
}

function drain(heap: Heap<QueuedRequest>): QueuedRequest[] {
  const found: QueuedRequest[] = [];
  for (let next = popPresent(heap); next; next = popPresent(heap)) {
    found.push(next);
  }
  return found;
}

function isEarlier(left: QueuedRequest, right: QueuedRequest): boolean {
  return left.orderKey < right.orderKey;
}

function isEarlierAgain(left: QueuedRequest, right: QueuedRequest): boolean {
  return blockedKey(left) < blockedKey(right);
}

function blockedKey({ orderKey: key, timesBlocked }: QueuedRequest): number {
  return key + timesBlocked * BLOCKED_DELAY_MS;
}

function classOf(tokens: number): number {
  const index = Math.floor(Math.log2(Math.max(1, tokens)));
  return Math.min(LENGTH_CLASSES - 1, index);
}
