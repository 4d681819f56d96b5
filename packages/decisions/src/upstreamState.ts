import type { Milliseconds, RequestId, Tier } from "@wasabivane/common";
import type {
  LoadReport,
  PlacementRequest,
  UpstreamDescription,
} from "./types.ts";
import {
  AdaptiveConcurrencyLimit,
  type AdaptiveConcurrencyLimitOptions,
} from "./adaptiveConcurrencyLimit.ts";

/** A request in flight, with what its grant rested on. */
export interface PoolAttempt {
  readonly placementRequest: PlacementRequest;
  readonly state: UpstreamState;
  readonly grantedAt: Milliseconds;
  firstTokenAt?: Milliseconds;
  /** Prompt tokens that were to be computed there at the grant, its own included. */
  readonly backlogTokens: number;
  readonly uncachedTokens: number;
  /** Tokens that it counts against the bound, the account and its fairness. */
  readonly expectedTokens: number;
  readonly inFlightRequests: number;
  readonly inFlightTokens: number;
  /** The loss of its upstream has been taken in already. */
  isLossRecorded: boolean;
}

/** What counts towards one attempt at its grant. */
export interface GrantDetails {
  readonly now: Milliseconds;
  readonly uncachedTokens: number;
  readonly expectedTokens: number;
}

/** One upstream as its keeper knows it: own work in flight first, reports second. */
export class UpstreamState {
  readonly concurrencyLimit: AdaptiveConcurrencyLimit;
  readonly attempts = new Map<RequestId, PoolAttempt>();
  description: UpstreamDescription;
  isEjected = false;
  /** The one suspect that runs here. */
  suspectRequest: RequestId | undefined;
  report: LoadReport | undefined;
  /** Requests in flight at which answers keep their pace. */
  paceLimit = Infinity;
  /** The tier whose pace that is. */
  paceTier: Tier | undefined;
  prefillBacklogTokens = 0;
  inFlightTokens = 0;

  constructor(
    description: UpstreamDescription,
    bound: AdaptiveConcurrencyLimitOptions,
  ) {
    this.description = description;
    this.concurrencyLimit = new AdaptiveConcurrencyLimit(bound);
  }

  /** Whether one more request may be in flight. */
  hasFreeSlot(share: number): boolean {
    return !this.description.isLeaving && !this.isEjected &&
      this.attempts.size < this.requestLimit(share);
  }

  /** Requests that may be in flight under a share of the pool. */
  requestLimit(share: number): number {
    if (share <= 0) return 0;
    const bound = Math.min(this.concurrencyLimit.requests, this.paceLimit);
    return Math.max(1, Math.floor(bound * share));
  }

  /**
   * Whether a request of this size fits. A large one needs half of the bound at
   * most: else small ones would take every place before enough is free for it.
   */
  hasCapacityFor(tokens: number, share: number): boolean {
    const bound = this.concurrencyLimit.tokens * share;
    return this.attempts.size === 0 ||
      this.inFlightTokens + Math.min(tokens, bound / 2) <= bound;
  }

  /** Counts a request in. */
  add(ask: PlacementRequest, details: GrantDetails): PoolAttempt {
    this.prefillBacklogTokens += details.uncachedTokens;
    this.inFlightTokens += details.expectedTokens;
    const attempt: PoolAttempt = {
      placementRequest: ask,
      state: this,
      grantedAt: details.now,
      backlogTokens: this.prefillBacklogTokens,
      uncachedTokens: details.uncachedTokens,
      expectedTokens: details.expectedTokens,
      inFlightRequests: this.attempts.size + 1,
      inFlightTokens: this.inFlightTokens,
      isLossRecorded: false,
    };
    this.attempts.set(ask.request, attempt);
    return attempt;
  }

  /** The prompt of an attempt is computed. */
  recordPrefill(attempt: PoolAttempt, now: Milliseconds): void {
    if (attempt.firstTokenAt !== undefined) return;
    attempt.firstTokenAt = now;
    this.prefillBacklogTokens -= attempt.uncachedTokens;
  }

  /** Counts a request out. */
  remove(attempt: PoolAttempt): void {
    this.attempts.delete(attempt.placementRequest.request);
    this.inFlightTokens -= attempt.expectedTokens;
    if (attempt.firstTokenAt === undefined) {
      this.prefillBacklogTokens -= attempt.uncachedTokens;
    }
    if (this.suspectRequest === attempt.placementRequest.request) {
      this.suspectRequest = undefined;
    }
  }
}
