import type { Digest, Milliseconds, Random, Timer } from "@wasabivane/common";

/** Speed and capacity of one engine. */
export interface EngineProfile {
  readonly prefillTokensPerSecond: number;
  /** Base duration of a batch step. */
  readonly decodeStepMs: Milliseconds;
  /** Duration that each decoding request adds to a step. */
  readonly decodeStepPerRequestMs: Milliseconds;
  /** Requests that run concurrently. */
  readonly maximumBatch: number;
  /** Prompt tokens computed in one step across all requests. */
  readonly maximumBatchPrefillTokens: number;
  /** Capacity shared by running requests and the prefix cache. */
  readonly kvCapacityTokens: number;
}

/** Options of an `EngineModel`. */
export interface EngineModelOptions {
  timer: Timer;
  /** Selects the cache events that are lost. */
  random: Random;
  profile: EngineProfile;
  /** Age of load reports. */
  reportLagMs?: Milliseconds;
  /** Delay before a cache event is published. */
  cacheEventLagMs?: Milliseconds;
  /** Share of cache events that are never published, 0 to 1. */
  cacheEventLossRate?: number;
  /**
   * Steps combined into one `tokens` event at most; 1 emits an event per token.
   * By default all steps between two changes of the batch are combined.
   */
  maximumStepsPerEvent?: number;
}

/** Request to an engine. */
export interface EngineRequest {
  /** Unique among the queued and running requests. */
  readonly id: string;
  /** At least one. */
  readonly promptTokens: number;
  /** Digests of the prompt's blocks, from `prefixDigests`. */
  readonly prefixDigests: readonly Digest[];
  /** Length of the response, at least one. */
  readonly outputTokens: number;
}

/** Event of a request; none follows `finished`, `lost` or a cancellation. */
export type EngineEvent =
  | { readonly kind: "firstToken"; readonly cachedTokens: number }
  /** Further output tokens. */
  | { readonly kind: "tokens"; readonly count: number }
  | { readonly kind: "finished"; readonly cachedTokens: number }
  /** The engine crashed; the `prefilledTokens` are wasted. */
  | { readonly kind: "lost"; readonly prefilledTokens: number };

/** Callback for the events of one request. */
export type EngineListener = (event: EngineEvent) => void;

/** Load of an engine at one time. */
export interface EngineLoad {
  /** Time on the engine's timer. */
  readonly takenAt: Milliseconds;
  readonly running: number;
  readonly waiting: number;
  /** Share of KV memory reserved by running requests, 0 to 1. */
  readonly memoryShare: number;
}

/** Change of the prefix cache; a sequence gap means a lost event. */
export interface EngineCacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted" | "cleared";
  readonly digests: readonly Digest[];
}

/** Totals since an engine was created; restarts do not reset them. */
export interface EngineCounters {
  readonly prefillTokens: number;
  /** Prompt tokens computed for requests that were cancelled or lost. */
  readonly wastedPrefillTokens: number;
  /** Prompt tokens served from the prefix cache. */
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly finished: number;
  readonly cancelled: number;
  readonly lost: number;
}
