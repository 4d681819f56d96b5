import type { ClientAccountId, Milliseconds } from "@wasabivane/common";
import type { AccountPolicy, PlacementRequest } from "./types.ts";

/** Whether an ask is within its account's limits. */
export type LimitCheck =
  | { readonly kind: "within" }
  | {
    readonly kind: "over";
    readonly limit: "requests" | "tokens" | "waiting";
    readonly retryAfter: Milliseconds;
  };

/** Unused allowance that may be spent at once: one second of each rate. */
const BURST_MS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** When to come back after too many of the account's requests were waiting. */
const WAITING_RETRY_MS = 1_000;

/**
 * Answers the load pattern of one client account that sends more than it was
 * promised. One keeper holds a pool's whole queue, so one set of token buckets
 * enforces the published rates without any store; a keeper that sees only a
 * share of the pool gives only that share of the rates. Without it, a hot
 * account fills the waiting bounds that all accounts share.
 *
 * Grounds: a bucket admits while it holds anything and may run into debt by one
 * request, so that a request larger than the burst can run at all and the rate
 * still holds over any longer time.
 */
export class AccountLimits {
  readonly #accounts = new Map<ClientAccountId, Usage>();
  #share = 1;

  constructor(policies: readonly AccountPolicy[] = []) {
    this.setPolicies(policies, 0);
  }

  /** Replaces the limits; what is running, waiting or owed stays. */
  setPolicies(policies: readonly AccountPolicy[], now: Milliseconds): void {
    const former = new Map(this.#accounts);
    this.#accounts.clear();
    for (const policy of policies) {
      const usage = former.get(policy.account) ?? new Usage(policy, now);
      usage.policy = policy;
      this.#accounts.set(policy.account, usage);
    }
  }

  /** Share of the published limits that may be given here, 0 to 1. */
  setCapacityShare(share: number, now: Milliseconds): void {
    for (const usage of this.#accounts.values()) {
      usage.refill(this.#share, now);
    }
    this.#share = share;
  }

  /** Checks one ask; nothing is charged. An account without limits is within. */
  check({ account }: PlacementRequest, now: Milliseconds): LimitCheck {
    const usage = this.#accounts.get(account);
    if (usage === undefined) return { kind: "within" };
    usage.refill(this.#share, now);
    if (usage.waiting >= usage.policy.waitingRequests) {
      return { kind: "over", limit: "waiting", retryAfter: WAITING_RETRY_MS };
    }
    const { requestsPerSecond, tokensPerSecond } = usage.policy;
    if (usage.requests < 1) {
      const missing = 1 - usage.requests;
      return this.#over("requests", missing / requestsPerSecond);
    }
    if (usage.tokens <= 0) {
      return this.#over("tokens", (1 - usage.tokens) / tokensPerSecond);
    }
    return { kind: "within" };
  }

  /** Charges an ask that now waits. */
  charge({ account }: PlacementRequest, expectedTokens: number): void {
    const usage = this.#accounts.get(account);
    if (usage === undefined) return;
    usage.requests -= 1;
    usage.tokens -= expectedTokens;
    usage.waiting += 1;
  }

  /** Gives back what a request was charged that left the queue without running. */
  refund({ account }: PlacementRequest, chargedTokens: number): void {
    const usage = this.#accounts.get(account);
    if (usage === undefined) return;
    usage.waiting -= 1;
    usage.tokens += chargedTokens;
  }

  /** Whether one more request of the account may run. */
  hasFreeSlot(account: ClientAccountId): boolean {
    const usage = this.#accounts.get(account);
    if (usage === undefined) return true;
    const bound = usage.policy.concurrentRequests * this.#share;
    return usage.running < Math.max(1, Math.floor(bound));
  }

  /** A waiting request starts. */
  recordStart(account: ClientAccountId): void {
    const usage = this.#accounts.get(account);
    if (usage === undefined) return;
    usage.waiting -= 1;
    usage.running += 1;
  }

  /** A request that ran already, perhaps granted by another keeper. */
  recordAdoption(account: ClientAccountId): void {
    const usage = this.#accounts.get(account);
    if (usage !== undefined) usage.running += 1;
  }

  /** A running request ended; the charge is corrected to what it used. */
  recordEnd(
    account: ClientAccountId,
    { chargedTokens, usedTokens }: {
      chargedTokens: number;
      usedTokens: number;
    },
  ): void {
    const usage = this.#accounts.get(account);
    if (usage === undefined) return;
    usage.running = Math.max(0, usage.running - 1);
    usage.tokens += chargedTokens - usedTokens;
  }

  #over(limit: "requests" | "tokens", seconds: number): LimitCheck {
    const share = Math.max(this.#share, Number.EPSILON);
    return {
      kind: "over",
      limit,
      retryAfter: Math.ceil(seconds * MILLISECONDS_PER_SECOND / share),
    };
  }
}

class Usage {
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
