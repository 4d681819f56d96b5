import type {
  ClientAccountId,
  Digest,
  FailureDomain,
  HostId,
  Milliseconds,
  RequestId,
  Tier,
  UpstreamId,
} from "@wasabivane/common";

/** A request that wants to start at one upstream of a service. */
export interface PlacementRequest {
  readonly request: RequestId;
  /** The entry host that holds the caller and the body. */
  readonly origin: HostId;
  readonly originDomain: FailureDomain;
  readonly account: ClientAccountId;
  readonly tier: Tier;
  readonly promptTokens: number;
  /** Upper bound that the caller set on generated tokens. */
  readonly maximumOutputTokens: number;
  /** Bytes that the entry host holds while the request waits. */
  readonly bodyBytes: number;
  /** When the whole answer must have arrived, on the scheduler's clock. */
  readonly deadline: Milliseconds;
  /**
   * Digests of the prompt's leading blocks, longest prefix last. They are
   * salted by client account, so equal prompts of two accounts never match.
   */
  readonly prefixDigests: readonly Digest[];
  /** Client account, model and content; the same for every resend. */
  readonly fingerprint: Digest;
}

/** Why a request was refused before it ran. */
export const REFUSAL_REASONS = [
  "deadline-unreachable",
  "deadline-passed",
  "shed",
  "account-limit",
  "no-upstream",
  "convicted",
  "stopping",
] as const;

/** See {@link REFUSAL_REASONS}. */
export type RefusalReason = typeof REFUSAL_REASONS[number];

/** What the scheduler decided about one ask. */
export type Decision =
  | {
    readonly kind: "grant";
    readonly placementRequest: PlacementRequest;
    readonly upstream: UpstreamId;
    /** Prompt tokens expected to be found in the upstream's cache. */
    readonly expectedCachedTokens: number;
  }
  | {
    readonly kind: "refuse";
    readonly placementRequest: PlacementRequest;
    readonly reason: RefusalReason;
    readonly retryAfter: Milliseconds;
    /** Estimated whole time, where the refusal rests on one. */
    readonly estimate?: Milliseconds;
  };

/** How one granted request ended at its upstream. */
export const ATTEMPT_OUTCOMES = [
  "whole",
  "cancelled",
  "upstream-lost",
  "upstream-refused",
  "upstream-error",
  "timeout",
] as const;

/** See {@link ATTEMPT_OUTCOMES}. */
export type AttemptOutcome = typeof ATTEMPT_OUTCOMES[number];

/** What an entry host saw of a granted request. */
export interface AttemptReport {
  readonly request: RequestId;
  readonly upstream: UpstreamId;
  readonly outcome: AttemptOutcome;
  readonly outputTokens: number;
  /** Prompt tokens that the engine reported as cached, when it did. */
  readonly cachedTokens?: number;
}

/** One upstream as the bundle, the host list and load reports describe it. */
export interface UpstreamDescription {
  readonly upstream: UpstreamId;
  readonly failureDomain: FailureDomain;
  readonly generation: string;
  readonly isLeaving: boolean;
}

/** An engine's own report of load; it lags. */
export interface LoadReport {
  readonly upstream: UpstreamId;
  /** When the engine took the reading, on the scheduler's clock. */
  readonly takenAt: Milliseconds;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  /** Share of KV memory in use, 0 to 1. */
  readonly memoryShare: number;
}

/** An engine's cache event; events come late and with gaps. */
export interface CacheEvent {
  readonly upstream: UpstreamId;
  readonly sequence: number;
  readonly kind: "stored" | "evicted" | "cleared";
  readonly digests: readonly Digest[];
}

/** Limits of one client account at one service. */
export interface AccountPolicy {
  readonly account: ClientAccountId;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrentRequests: number;
  readonly waitingRequests: number;
}

/** What a scheduler is built for: one service of the bundle in force. */
export interface PoolPolicy {
  readonly upstreams: readonly UpstreamDescription[];
  readonly accounts: readonly AccountPolicy[];
  readonly tiers: readonly Tier[];
  readonly initialConcurrency: number;
  readonly maximumConcurrency: number;
  readonly maximumWaitingTokens: number;
  readonly maximumWaitingBytes: number;
  readonly maximumEjectedShare: number;
  readonly domainDistanceMs: Milliseconds;
}
