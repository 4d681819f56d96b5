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

/** Describes a request that is submitted to the scheduler of a pool. */
export interface PlacementRequest {
  readonly request: RequestId;
  /** Entry host that holds the caller's connection and the request body. */
  readonly origin: HostId;
  readonly originDomain: FailureDomain;
  readonly account: ClientAccountId;
  readonly tier: Tier;
  readonly promptTokens: number;
  /** Limit that the caller set on generated tokens. */
  readonly maximumOutputTokens: number;
  /** Size of the body that the entry host buffers while the request waits. */
  readonly bodyBytes: number;
  /** Time by which the complete response is due, on the scheduler's clock. */
  readonly deadline: Milliseconds;
  /**
   * Digests of the prompt's prefixes, the longest last. They are salted with
   * the client account, so equal prompts of two accounts never match.
   */
  readonly prefixDigests: readonly Digest[];
  /** Digest of client account, model and content; equal for every retry. */
  readonly fingerprint: Digest;
}

/** Lists the reasons for refusing a request before it runs. */
export const REFUSAL_REASONS = [
  "deadline-unreachable",
  "deadline-passed",
  "shed",
  "account-limit",
  "no-upstream",
  "convicted",
  "stopping",
] as const;

/** Names one of {@link REFUSAL_REASONS}. */
export type RefusalReason = typeof REFUSAL_REASONS[number];

/** Holds the scheduler's decision on one request. */
export type Decision =
  | {
    readonly kind: "grant";
    readonly placementRequest: PlacementRequest;
    readonly upstream: UpstreamId;
    /** Prompt tokens expected to be in the upstream's prefix cache. */
    readonly expectedCachedTokens: number;
  }
  | {
    readonly kind: "refuse";
    readonly placementRequest: PlacementRequest;
    readonly reason: RefusalReason;
    readonly retryAfter: Milliseconds;
    /** Estimated total response time, if the refusal is based on one. */
    readonly estimate?: Milliseconds;
  };

/** Lists the ways in which an attempt at an upstream ends. */
export const ATTEMPT_OUTCOMES = [
  "whole",
  "cancelled",
  "upstream-lost",
  "upstream-refused",
  "upstream-error",
  "timeout",
] as const;

/** Names one of {@link ATTEMPT_OUTCOMES}. */
export type AttemptOutcome = typeof ATTEMPT_OUTCOMES[number];

/** Reports how a granted request ended, as seen by its entry host. */
export interface AttemptReport {
  readonly request: RequestId;
  readonly upstream: UpstreamId;
  readonly outcome: AttemptOutcome;
  readonly outputTokens: number;
  /** Prompt tokens that the engine reported as cached, if it did. */
  readonly cachedTokens?: number;
}

/** Describes one upstream as the bundle and the host list define it. */
export interface UpstreamDescription {
  readonly upstream: UpstreamId;
  readonly failureDomain: FailureDomain;
  readonly generation: string;
  readonly isLeaving: boolean;
}

/** Holds a load report of an engine, which arrives with a delay. */
export interface LoadReport {
  readonly upstream: UpstreamId;
  /** Time of the measurement, on the scheduler's clock. */
  readonly takenAt: Milliseconds;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  /** Share of the KV cache memory in use, 0 to 1. */
  readonly memoryShare: number;
}

/** Holds a prefix cache event of an engine; events may be late or missing. */
export interface CacheEvent {
  readonly upstream: UpstreamId;
  readonly sequence: number;
  readonly kind: "stored" | "evicted" | "cleared";
  readonly digests: readonly Digest[];
}

/** Holds the limits of one client account at one service. */
export interface AccountPolicy {
  readonly account: ClientAccountId;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrentRequests: number;
  readonly waitingRequests: number;
}

/** Configures a scheduler for one service of the active bundle. */
export interface PoolPolicy {
  readonly upstreams: readonly UpstreamDescription[];
  readonly accounts: readonly AccountPolicy[];
  readonly tiers: readonly Tier[];
  readonly initialConcurrency: number;
  readonly maximumConcurrency: number;
  readonly maximumWaitingTokens: number;
  readonly maximumWaitingBytes: number;
  readonly maximumEjectedShare: number;
  /** One-way network latency between failure domains. */
  readonly domainDistanceMs: Milliseconds;
}
