import type { Digest, Milliseconds, Random, Timer } from "@wasabivane/common";

/** How fast one engine works and how much it holds. */
export interface EngineProfile {
  readonly prefillTokensPerSecond: number;
  /** Time of one batch step before any request adds to it. */
  readonly decodeStepMs: Milliseconds;
  /** Time that each decoding request adds to a step. */
  readonly decodeStepPerRequestMs: Milliseconds;
  /** Requests that run at once. */
  readonly maximumBatch: number;
  /** Prompt tokens computed in one step, over all requests. */
  readonly maximumBatchPrefillTokens: number;
  /** Tokens of running requests and of cached prefixes together. */
  readonly kvCapacityTokens: number;
}

/** Options of an `EngineModel`. */
export interface EngineModelOptions {
  timer: Timer;
  /** Decides which cache events are lost. */
  random: Random;
  profile: EngineProfile;
  /** Age of a load report when it is read. */
  reportLagMs?: Milliseconds;
  /** Time until a cache event can be read. */
  cacheEventLagMs?: Milliseconds;
  /** Share of cache events that are never published. */
  cacheEventLossRate?: number;
  /**
   * Steps that may be told as one `tokens` event. One gives each token its own
   * event; the default joins all steps between two changes of the batch.
   */
  maximumStepsPerEvent?: number;
}

/** One request as an engine sees it. */
export interface EngineRequest {
  /** Unique among the requests that wait or run. */
  readonly id: string;
  /** At least one. */
  readonly promptTokens: number;
  /** Digests as `prefixDigests` gives them, the first block first. */
  readonly prefixDigests: readonly Digest[];
  /** Tokens that the answer will have, at least one. */
  readonly outputTokens: number;
}

/** What happens to a submitted request; nothing comes after `finished`, `lost` or a cancel. */
export type EngineEvent =
  | { readonly kind: "firstToken"; readonly cachedTokens: number }
  /** Tokens after those told before. */
  | { readonly kind: "tokens"; readonly count: number }
  | { readonly kind: "finished"; readonly cachedTokens: number }
  /** The engine crashed; `prefilledTokens` were computed for nothing. */
  | { readonly kind: "lost"; readonly prefilledTokens: number };

/** Called for each event of one request. */
export type EngineListener = (event: EngineEvent) => void;

/** A reading of an engine's load. */
export interface EngineLoad {
  /** On the engine's timer. */
  readonly takenAt: Milliseconds;
  readonly running: number;
  readonly waiting: number;
  /** Share of KV memory that running requests hold, 0 to 1. */
  readonly memoryShare: number;
}

/** A change of the prefix cache; a missing sequence number is a lost event. */
export interface EngineCacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted" | "cleared";
  readonly digests: readonly Digest[];
}

/** What an engine has done since it was made; a restart keeps the counts. */
export interface EngineCounters {
  readonly prefillTokens: number;
  /** Prompt tokens computed for requests that were cancelled or lost. */
  readonly wastedPrefillTokens: number;
  /** Prompt tokens found in the cache. */
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly finished: number;
  readonly cancelled: number;
  readonly lost: number;
}
