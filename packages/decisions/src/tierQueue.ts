import { type ClientAccountId, Heap, type Tier } from "@wasabivane/common";
import { AccountQueue, type QueuedRequest } from "./accountQueue.ts";

/**
 * Whether a waiting request can start now: yes; not where there is room; not,
 * as was found before; or no request of its account.
 */
export type StartEligibility =
  | "start"
  | "blocked"
  | "still-blocked"
  | "account-blocked";

/** Accounts that are looked at in one call. */
const MAXIMUM_LANES = 8;
/** Requests of one account that are looked at in one call. */
const MAXIMUM_BLOCKED_TRIES = 4;
const MAXIMUM_FRESH_TRIES = 4;

/** The lanes of one tier, the account with the fewest served tokens first. */
export class TierQueue {
  readonly tier: Tier;
  readonly #lanes = new Map<ClientAccountId, AccountQueue>();
  #ready = new Heap<AccountQueue>((left, right) =>
    left.servedTokens < right.servedTokens
  );
  #costly = new Heap<QueuedRequest>(isCostlier);
  #reached = 0;
  size = 0;
  tokens = 0;

  constructor(tier: Tier) {
    this.tier = tier;
  }

  add(waiting: QueuedRequest): void {
    const { account } = waiting.placementRequest;
    const lane = this.#lanes.get(account) ?? new AccountQueue(account);
    this.#lanes.set(account, lane);
    if (lane.size === 0) {
      lane.servedTokens = Math.max(lane.servedTokens, this.#reached);
      this.#enter(lane);
    }
    lane.add(waiting);
    this.size++;
    this.tokens += waiting.expectedTokens;
    this.#costly.push(waiting);
    if (this.#costly.size > 64 + 2 * this.size) this.#rebuildCostly();
  }

  /** Counts out a request that left; the heaps drop it later. */
  remove(waiting: QueuedRequest): void {
    this.size--;
    this.tokens -= waiting.expectedTokens;
    this.#lanes.get(waiting.placementRequest.account)!.remove(waiting);
  }

  /**
   * Takes out the first request that can start. Each lane's blocked requests are
   * tried again before its fresh ones; a few of each, so that a call stays cheap.
   */
  take(
    accept: (waiting: QueuedRequest) => StartEligibility,
  ): QueuedRequest | undefined {
    if (this.size === 0) return undefined;
    const lanes: AccountQueue[] = [];
    let found: QueuedRequest | undefined;
    while (found === undefined && lanes.length < MAXIMUM_LANES) {
      const lane = this.#ready.pop();
      if (lane === undefined) break;
      lanes.push(lane);
      found = takeFrom(lane, accept);
      if (found === undefined) continue;
      this.#reached = Math.max(this.#reached, lane.servedTokens);
      lane.servedTokens += found.expectedTokens;
    }
    for (const lane of lanes) {
      lane.isInHeap = false;
      if (lane.size > 0) this.#enter(lane);
    }
    return found;
  }

  addServedTokens(account: ClientAccountId, tokens: number): void {
    const lane = this.#lanes.get(account);
    if (lane === undefined) return;
    lane.servedTokens += tokens;
    if (!lane.isInHeap) return;
    const lanes = [...this.#lanes.values()].filter(({ isInHeap: isReady }) =>
      isReady
    );
    this.#ready = new Heap((left, right) =>
      left.servedTokens < right.servedTokens
    );
    lanes.forEach((ready) => this.#ready.push(ready));
  }

  largest(): QueuedRequest | undefined {
    let first = this.#costly.peek();
    while (first?.isRemoved) {
      this.#costly.pop();
      first = this.#costly.peek();
    }
    return first;
  }

  tokensAhead(account: ClientAccountId, expectedTokens: number): number {
    const lane = this.#lanes.get(account);
    const own = lane?.tokensOfShorterRequests(expectedTokens) ?? 0;
    let ahead = own;
    // While the account's own share is served, each other account gets as much.
    for (const other of this.#lanes.values()) {
      if (other === lane || other.size === 0) continue;
      ahead += Math.min(other.tokens, own + expectedTokens);
    }
    return ahead;
  }

  counts(): { tier: Tier; account: ClientAccountId; requests: number }[] {
    return [...this.#lanes.values()]
      .filter(({ size }) => size > 0)
      .map(({ account, size }) => ({
        tier: this.tier,
        account,
        requests: size,
      }));
  }

  #enter(lane: AccountQueue): void {
    if (lane.isInHeap) return;
    lane.isInHeap = true;
    this.#ready.push(lane);
  }

  #rebuildCostly(): void {
    this.#costly = new Heap(isCostlier);
    for (const lane of this.#lanes.values()) {
      for (const waiting of lane.waiting()) this.#costly.push(waiting);
    }
  }
}

function takeFrom(
  lane: AccountQueue,
  accept: (waiting: QueuedRequest) => StartEligibility,
): QueuedRequest | undefined {
  return tryEach(lane, accept, {
    pop: () => lane.popBlocked(),
    limit: MAXIMUM_BLOCKED_TRIES,
  }) ?? tryEach(lane, accept, {
    pop: () => lane.popUntried(),
    limit: MAXIMUM_FRESH_TRIES,
  });
}

function tryEach(
  lane: AccountQueue,
  accept: (waiting: QueuedRequest) => StartEligibility,
  { pop, limit }: { pop: () => QueuedRequest | undefined; limit: number },
): QueuedRequest | undefined {
  const untried: QueuedRequest[] = [];
  let found: QueuedRequest | undefined;
  for (let tries = 0; tries < limit; tries++) {
    const waiting = pop();
    if (waiting === undefined) break;
    const acceptance = accept(waiting);
    if (acceptance === "start") {
      found = waiting;
      break;
    }
    if (acceptance === "blocked") lane.pushBlocked(waiting);
    else untried.push(waiting);
    if (acceptance === "account-blocked") break;
  }
  untried.forEach((waiting) => lane.putBack(waiting));
  return found;
}

function isCostlier(left: QueuedRequest, right: QueuedRequest): boolean {
  if (left.expectedTokens !== right.expectedTokens) {
    return left.expectedTokens > right.expectedTokens;
  }
  return left.enqueuedAt > right.enqueuedAt;
}
