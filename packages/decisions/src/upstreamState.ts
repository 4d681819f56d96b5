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

/** Holds a request in flight and the load of its upstream at the grant. */
export interface PoolAttempt {
  readonly placementRequest: PlacementRequest;
  readonly state: UpstreamState;
  readonly grantedAt: Milliseconds;
  firstTokenAt?: Milliseconds;
  /** Prompt tokens to be computed at the grant, its own included. */
  readonly backlogTokens: number;
  readonly uncachedTokens: number;
  /** Tokens counted against the limits of its upstream and its account. */
  readonly expectedTokens: number;
  readonly inFlightRequests: number;
  readonly inFlightTokens: number;
  /** Whether the loss of its upstream was already recorded. */
  isLossRecorded: boolean;
}

/** Holds the token counts of a request when it is granted. */
export interface GrantDetails {
  readonly now: Milliseconds;
  readonly uncachedTokens: number;
  readonly expectedTokens: number;
}

/** Tracks the requests in flight, limits and load report of one upstream. */
export class UpstreamState {
  readonly concurrencyLimit: AdaptiveConcurrencyLimit;
  readonly attempts = new Map<RequestId, PoolAttempt>();
  description: UpstreamDescription;
  isEjected = false;
  /** Suspect request that runs here, if any. */
  suspectRequest: RequestId | undefined;
  report: LoadReport | undefined;
  /**
   * Maximum requests in flight at which responses keep the pace of `paceTier`.
   */
  paceLimit = Infinity;
  paceTier: Tier | undefined;
  prefillBacklogTokens = 0;
  inFlightTokens = 0;

  constructor(
    description: UpstreamDescription,
    limitOptions: AdaptiveConcurrencyLimitOptions,
  ) {
    this.description = description;
    this.concurrencyLimit = new AdaptiveConcurrencyLimit(limitOptions);
  }

  /** Returns whether the upstream may receive one more request. */
  hasFreeSlot(share: number): boolean {
    return !this.description.isLeaving && !this.isEjected &&
      this.attempts.size < this.requestLimit(share);
  }

  /**
   * Returns the maximum requests in flight under a share of the pool's
   * capacity.
   */
  requestLimit(share: number): number {
    if (share <= 0) return 0;
    const limit = Math.min(this.concurrencyLimit.requests, this.paceLimit);
    return Math.max(1, Math.floor(limit * share));
  }

  /**
   * Returns whether a request of this size fits. A large one requires at most
   * half of the limit, so that small requests cannot starve it.
   */
  hasCapacityFor(tokens: number, share: number): boolean {
    const limit = this.concurrencyLimit.tokens * share;
    return this.attempts.size === 0 ||
      this.inFlightTokens + Math.min(tokens, limit / 2) <= limit;
  }

  /** Adds a granted request. */
  add(placementRequest: PlacementRequest, details: GrantDetails): PoolAttempt {
    this.prefillBacklogTokens += details.uncachedTokens;
    this.inFlightTokens += details.expectedTokens;
    const attempt: PoolAttempt = {
      placementRequest,
      state: this,
      grantedAt: details.now,
      backlogTokens: this.prefillBacklogTokens,
      uncachedTokens: details.uncachedTokens,
      expectedTokens: details.expectedTokens,
      inFlightRequests: this.attempts.size + 1,
      inFlightTokens: this.inFlightTokens,
      isLossRecorded: false,
    };
    this.attempts.set(placementRequest.request, attempt);
    return attempt;
  }

  /** Records that the prompt of an attempt is computed. */
  recordPrefill(attempt: PoolAttempt, now: Milliseconds): void {
    if (attempt.firstTokenAt !== undefined) return;
    attempt.firstTokenAt = now;
    this.prefillBacklogTokens -= attempt.uncachedTokens;
  }

  /** Removes a request that ended. */
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
