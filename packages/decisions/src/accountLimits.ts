import type { ClientAccountId, Milliseconds } from "@wasabivane/common";
import type { AccountPolicy, PlacementRequest } from "./types.ts";

/** Tells whether a request is within the limits of its account. */
export type LimitCheck =
  | { readonly kind: "within" }
  | {
    readonly kind: "over";
    readonly limit: "requests" | "tokens" | "waiting";
    readonly retryAfter: Milliseconds;
  };

/** Capacity of each token bucket, as time at its refill rate. */
const BURST_MS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Retry delay when too many requests of the account are waiting. */
const WAITING_RETRY_MS = 1_000;

/**
 * Enforces the limits of client accounts: token buckets for request and token
 * rates, and counts of waiting and running requests. A scheduler that may use
 * only a share of the pool's capacity grants only that share of the limits. The
 * balance of a bucket may become negative, so that a request larger than the
 * burst can run and the rate still holds over any longer time.
 */
export class AccountLimits {
  readonly #usages = new Map<ClientAccountId, AccountUsage>();
  #capacityShare = 1;

  constructor(policies: readonly AccountPolicy[] = []) {
    this.setPolicies(policies, 0);
  }

  /** Replaces the limits; counts and bucket balances are kept. */
  setPolicies(policies: readonly AccountPolicy[], now: Milliseconds): void {
    const previous = new Map(this.#usages);
    this.#usages.clear();
    for (const policy of policies) {
      const usage = previous.get(policy.account) ??
        new AccountUsage(policy, now);
      usage.policy = policy;
      this.#usages.set(policy.account, usage);
    }
  }

  /** Sets the share of the limits that may be granted here, 0 to 1. */
  setCapacityShare(share: number, now: Milliseconds): void {
    for (const usage of this.#usages.values()) {
      usage.refill(this.#capacityShare, now);
    }
    this.#capacityShare = share;
  }

  /** Checks a request without charging it; accounts without limits pass. */
  check({ account }: PlacementRequest, now: Milliseconds): LimitCheck {
    const usage = this.#usages.get(account);
    if (usage === undefined) return { kind: "within" };
    usage.refill(this.#capacityShare, now);
    if (usage.waiting >= usage.policy.waitingRequests) {
      return { kind: "over", limit: "waiting", retryAfter: WAITING_RETRY_MS };
    }
    const { requestsPerSecond, tokensPerSecond } = usage.policy;
    if (usage.requests < 1) {
      const missingRequests = 1 - usage.requests;
      return this.#overLimit("requests", missingRequests / requestsPerSecond);
    }
    if (usage.tokens <= 0) {
      return this.#overLimit("tokens", (1 - usage.tokens) / tokensPerSecond);
    }
    return { kind: "within" };
  }

  /** Charges a request that starts to wait. */
  charge({ account }: PlacementRequest, expectedTokens: number): void {
    const usage = this.#usages.get(account);
    if (usage === undefined) return;
    usage.requests -= 1;
    usage.tokens -= expectedTokens;
    usage.waiting += 1;
  }

  /** Refunds the tokens of a request that left the queue without running. */
  refund({ account }: PlacementRequest, chargedTokens: number): void {
    const usage = this.#usages.get(account);
    if (usage === undefined) return;
    usage.waiting -= 1;
    usage.tokens += chargedTokens;
  }

  /** Returns whether one more request of the account may run. */
  hasFreeSlot(account: ClientAccountId): boolean {
    const usage = this.#usages.get(account);
    if (usage === undefined) return true;
    const limit = usage.policy.concurrentRequests * this.#capacityShare;
    return usage.running < Math.max(1, Math.floor(limit));
  }

  /** Records that a waiting request starts. */
  recordStart(account: ClientAccountId): void {
    const usage = this.#usages.get(account);
    if (usage === undefined) return;
    usage.waiting -= 1;
    usage.running += 1;
  }

  /** Records a request that is already running. */
  recordAdoption(account: ClientAccountId): void {
    const usage = this.#usages.get(account);
    if (usage !== undefined) usage.running += 1;
  }

  /**
   * Records the end of a request and corrects its charge to the tokens used.
   */
  recordEnd(
    account: ClientAccountId,
    { chargedTokens, usedTokens }: {
      chargedTokens: number;
      usedTokens: number;
    },
  ): void {
    const usage = this.#usages.get(account);
    if (usage === undefined) return;
    usage.running = Math.max(0, usage.running - 1);
    usage.tokens += chargedTokens - usedTokens;
  }

  #overLimit(limit: "requests" | "tokens", seconds: number): LimitCheck {
    const share = Math.max(this.#capacityShare, Number.EPSILON);
    return {
      kind: "over",
      limit,
      retryAfter: Math.ceil(seconds * MILLISECONDS_PER_SECOND / share),
    };
  }
}

class AccountUsage {
  policy: AccountPolicy;
  requests: number;
  tokens: number;
  running = 0;
  waiting = 0;
  #refilledAt: Milliseconds;

  constructor(policy: AccountPolicy, now: Milliseconds) {
    this.policy = policy;
    this.requests = requestBurst(policy);
    this.tokens = tokenBurst(policy);
    this.#refilledAt = now;
  }

  refill(share: number, now: Milliseconds): void {
    const seconds = (now - this.#refilledAt) / MILLISECONDS_PER_SECOND * share;
    this.#refilledAt = now;
    const { requestsPerSecond, tokensPerSecond } = this.policy;
    this.requests = Math.min(
      requestBurst(this.policy),
      this.requests + seconds * requestsPerSecond,
    );
    this.tokens = Math.min(
      tokenBurst(this.policy),
      this.tokens + seconds * tokensPerSecond,
    );
  }
}

function requestBurst({ requestsPerSecond }: AccountPolicy): number {
  const burst = requestsPerSecond * BURST_MS / MILLISECONDS_PER_SECOND;
  return Math.max(1, burst);
}

function tokenBurst({ tokensPerSecond }: AccountPolicy): number {
  return Math.max(1, tokensPerSecond * BURST_MS / MILLISECONDS_PER_SECOND);
}
