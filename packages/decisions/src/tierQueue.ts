import { type ClientAccountId, Heap, type Tier } from "@wasabivane/common";
import { AccountQueue, type QueuedRequest } from "./accountQueue.ts";

/**
 * Tells whether a queued request can start now: it can, no free upstream is
 * suitable, nothing has changed since it was blocked, or its account is at its
 * concurrency limit.
 */
export type StartEligibility =
  | "start"
  | "blocked"
  | "still-blocked"
  | "account-blocked";

/** Maximum accounts tried in one call. */
const MAXIMUM_ACCOUNTS_TRIED = 8;
/** Maximum requests of one account tried in one call. */
const MAXIMUM_BLOCKED_TRIES = 4;
const MAXIMUM_UNTRIED_TRIES = 4;

/** Holds the account queues of one tier, the fewest served tokens first. */
export class TierQueue {
  readonly tier: Tier;
  readonly #queues = new Map<ClientAccountId, AccountQueue>();
  #heap = new Heap<AccountQueue>((left, right) =>
    left.servedTokens < right.servedTokens
  );
  #bySize = new Heap<QueuedRequest>(isLarger);
  #servedFloor = 0;
  size = 0;
  tokens = 0;

  constructor(tier: Tier) {
    this.tier = tier;
  }

  add(queued: QueuedRequest): void {
    const { account } = queued.placementRequest;
    const queue = this.#queues.get(account) ?? new AccountQueue(account);
    this.#queues.set(account, queue);
    if (queue.size === 0) {
      queue.servedTokens = Math.max(queue.servedTokens, this.#servedFloor);
      this.#addToHeap(queue);
    }
    queue.add(queued);
    this.size++;
    this.tokens += queued.expectedTokens;
    this.#bySize.push(queued);
    if (this.#bySize.size > 64 + 2 * this.size) this.#rebuildBySize();
  }

  /** Removes a request; the heaps discard it later. */
  remove(queued: QueuedRequest): void {
    this.size--;
    this.tokens -= queued.expectedTokens;
    this.#queues.get(queued.placementRequest.account)!.remove(queued);
  }

  /**
   * Removes and returns the first request that can start. Blocked requests of
   * an account are tried before untried ones; the number of tries is limited.
   */
  take(
    check: (queued: QueuedRequest) => StartEligibility,
  ): QueuedRequest | undefined {
    if (this.size === 0) return undefined;
    const tried: AccountQueue[] = [];
    let found: QueuedRequest | undefined;
    while (found === undefined && tried.length < MAXIMUM_ACCOUNTS_TRIED) {
      const queue = this.#heap.pop();
      if (queue === undefined) break;
      tried.push(queue);
      found = takeFrom(queue, check);
      if (found === undefined) continue;
      this.#servedFloor = Math.max(this.#servedFloor, queue.servedTokens);
      queue.servedTokens += found.expectedTokens;
    }
    for (const queue of tried) {
      queue.isInHeap = false;
      if (queue.size > 0) this.#addToHeap(queue);
    }
    return found;
  }

  /** Adds to the served tokens of an account and restores the heap order. */
  addServedTokens(account: ClientAccountId, tokens: number): void {
    const queue = this.#queues.get(account);
    if (queue === undefined) return;
    queue.servedTokens += tokens;
    if (!queue.isInHeap) return;
    const queues = [...this.#queues.values()].filter(({ isInHeap }) =>
      isInHeap
    );
    this.#heap = new Heap((left, right) =>
      left.servedTokens < right.servedTokens
    );
    queues.forEach((entry) => this.#heap.push(entry));
  }

  /** Returns the request with the most expected tokens. */
  largest(): QueuedRequest | undefined {
    let first = this.#bySize.peek();
    while (first?.isRemoved) {
      this.#bySize.pop();
      first = this.#bySize.peek();
    }
    return first;
  }

  /**
   * Returns the tokens that would be served before a request of this length.
   */
  tokensAhead(account: ClientAccountId, expectedTokens: number): number {
    const queue = this.#queues.get(account);
    const own = queue?.tokensOfShorterRequests(expectedTokens) ?? 0;
    let ahead = own;
    // Until then, each other account is served at most as many tokens.
    for (const other of this.#queues.values()) {
      if (other === queue || other.size === 0) continue;
      ahead += Math.min(other.tokens, own + expectedTokens);
    }
    return ahead;
  }

  /** Returns the number of waiting requests by account. */
  counts(): { tier: Tier; account: ClientAccountId; requests: number }[] {
    return [...this.#queues.values()]
      .filter(({ size }) => size > 0)
      .map(({ account, size }) => ({
        tier: this.tier,
        account,
        requests: size,
      }));
  }

  #addToHeap(queue: AccountQueue): void {
    if (queue.isInHeap) return;
    queue.isInHeap = true;
    this.#heap.push(queue);
  }

  #rebuildBySize(): void {
    this.#bySize = new Heap(isLarger);
    for (const queue of this.#queues.values()) {
      for (const queued of queue.list()) this.#bySize.push(queued);
    }
  }
}

function takeFrom(
  queue: AccountQueue,
  check: (queued: QueuedRequest) => StartEligibility,
): QueuedRequest | undefined {
  return tryEach(queue, check, {
    pop: () => queue.popBlocked(),
    limit: MAXIMUM_BLOCKED_TRIES,
  }) ?? tryEach(queue, check, {
    pop: () => queue.popUntried(),
    limit: MAXIMUM_UNTRIED_TRIES,
  });
}

function tryEach(
  queue: AccountQueue,
  check: (queued: QueuedRequest) => StartEligibility,
  { pop, limit }: { pop: () => QueuedRequest | undefined; limit: number },
): QueuedRequest | undefined {
  const unchanged: QueuedRequest[] = [];
  let found: QueuedRequest | undefined;
  for (let tries = 0; tries < limit; tries++) {
    const queued = pop();
    if (queued === undefined) break;
    const eligibility = check(queued);
    if (eligibility === "start") {
      found = queued;
      break;
    }
    if (eligibility === "blocked") queue.pushBlocked(queued);
    else unchanged.push(queued);
    if (eligibility === "account-blocked") break;
  }
  unchanged.forEach((queued) => queue.putBack(queued));
  return found;
}

function isLarger(left: QueuedRequest, right: QueuedRequest): boolean {
  if (left.expectedTokens !== right.expectedTokens) {
    return left.expectedTokens > right.expectedTokens;
  }
  return left.enqueuedAt > right.enqueuedAt;
}
