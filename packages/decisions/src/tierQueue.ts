import { type ClientAccountId, Heap, type Tier } from "@wasabivane/common";
import { AccountLane, type Waiting } from "./accountLane.ts";

/**
 * Whether a waiting request can start now: yes; not where there is room; not,
 * as was found before; or no request of its account.
 */
export type Acceptance =
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
  readonly #lanes = new Map<ClientAccountId, AccountLane>();
  #ready = new Heap<AccountLane>((left, right) => left.served < right.served);
  #costly = new Heap<Waiting>(isCostlier);
  #reached = 0;
  size = 0;
  tokens = 0;

  constructor(tier: Tier) {
    this.tier = tier;
  }

  add(waiting: Waiting): void {
    const { account } = waiting.ask;
    const lane = this.#lanes.get(account) ?? new AccountLane(account);
    this.#lanes.set(account, lane);
    if (lane.size === 0) {
      lane.served = Math.max(lane.served, this.#reached);
      this.#enter(lane);
    }
    lane.add(waiting);
    this.size++;
    this.tokens += waiting.expectedTokens;
    this.#costly.push(waiting);
    if (this.#costly.size > 64 + 2 * this.size) this.#rebuildCostly();
  }

  /** Counts out a request that left; the heaps drop it later. */
  forget(waiting: Waiting): void {
    this.size--;
    this.tokens -= waiting.expectedTokens;
    this.#lanes.get(waiting.ask.account)!.forget(waiting);
  }

  /**
   * Takes out the first request that can start. Each lane's blocked requests are
   * tried again before its fresh ones; a few of each, so that a call stays cheap.
   */
  take(accept: (waiting: Waiting) => Acceptance): Waiting | undefined {
    if (this.size === 0) return undefined;
    const lanes: AccountLane[] = [];
    let found: Waiting | undefined;
    while (found === undefined && lanes.length < MAXIMUM_LANES) {
      const lane = this.#ready.pop();
      if (lane === undefined) break;
      lanes.push(lane);
      found = takeFrom(lane, accept);
      if (found === undefined) continue;
      this.#reached = Math.max(this.#reached, lane.served);
      lane.served += found.expectedTokens;
    }
    for (const lane of lanes) {
      lane.isReady = false;
      if (lane.size > 0) this.#enter(lane);
    }
    return found;
  }

  charge(account: ClientAccountId, tokens: number): void {
    const lane = this.#lanes.get(account);
    if (lane === undefined) return;
    lane.served += tokens;
    if (!lane.isReady) return;
    const lanes = [...this.#lanes.values()].filter(({ isReady }) => isReady);
    this.#ready = new Heap((left, right) => left.served < right.served);
    lanes.forEach((ready) => this.#ready.push(ready));
  }

  costliest(): Waiting | undefined {
    let first = this.#costly.peek();
    while (first?.isGone) {
      this.#costly.pop();
      first = this.#costly.peek();
    }
    return first;
  }

  tokensAhead(account: ClientAccountId, expectedTokens: number): number {
    const lane = this.#lanes.get(account);
    const own = lane?.tokensShorterThan(expectedTokens) ?? 0;
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

  #enter(lane: AccountLane): void {
    if (lane.isReady) return;
    lane.isReady = true;
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
  lane: AccountLane,
  accept: (waiting: Waiting) => Acceptance,
): Waiting | undefined {
  return tryEach(lane, accept, {
    pop: () => lane.popBlocked(),
    limit: MAXIMUM_BLOCKED_TRIES,
  }) ?? tryEach(lane, accept, {
    pop: () => lane.popFresh(),
    limit: MAXIMUM_FRESH_TRIES,
  });
}

function tryEach(
  lane: AccountLane,
  accept: (waiting: Waiting) => Acceptance,
  { pop, limit }: { pop: () => Waiting | undefined; limit: number },
): Waiting | undefined {
  const untried: Waiting[] = [];
  let found: Waiting | undefined;
  for (let tries = 0; tries < limit; tries++) {
    const waiting = pop();
    if (waiting === undefined) break;
    const acceptance = accept(waiting);
    if (acceptance === "start") {
      found = waiting;
      break;
    }
    if (acceptance === "blocked") lane.block(waiting);
    else untried.push(waiting);
    if (acceptance === "account-blocked") break;
  }
  untried.forEach((waiting) => lane.putBack(waiting));
  return found;
}

function isCostlier(left: Waiting, right: Waiting): boolean {
  if (left.expectedTokens !== right.expectedTokens) {
    return left.expectedTokens > right.expectedTokens;
  }
  return left.since > right.since;
}
