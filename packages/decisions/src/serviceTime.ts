import type { Milliseconds } from "@wasabivane/common";
import { TOKENS_PER_BLOCK } from "./prefixCacheIndex.ts";
import type { OutputLengthDistribution } from "./outputLengthEstimator.ts";
import type { PlacementRequest } from "./types.ts";
import type { UpstreamPool } from "./upstreamPool.ts";

/** Estimates the time that requests take at the fastest upstreams of a pool. */
export class ServiceTime {
  readonly #pool: UpstreamPool;

  constructor(pool: UpstreamPool) {
    this.#pool = pool;
  }

  /** Returns the expected time from the start to the complete response. */
  expected(
    placementRequest: PlacementRequest,
    outputTokens: number,
  ): Milliseconds {
    const times = this.#pool.fastestTimes(
      outputTokens,
      placementRequest.promptTokens,
    );
    return placementRequest.promptTokens * times.prefillMsPerToken +
      outputTokens * times.decodeMsPerToken;
  }

  /**
   * Returns the upstream time that the request uses: the full time of its
   * uncached prompt, and its share of the batch for each output token.
   */
  cost(
    placementRequest: PlacementRequest,
    outputTokens: number,
    now: Milliseconds,
  ): Milliseconds {
    const times = this.#pool.fastestTimes(
      outputTokens,
      placementRequest.promptTokens,
    );
    const [holder] = this.#pool.cache.holders(
      placementRequest.prefixDigests,
      now,
    );
    const cachedTokens = (holder?.blocks ?? 0) * TOKENS_PER_BLOCK;
    const uncachedTokens = Math.max(
      0,
      placementRequest.promptTokens - cachedTokens,
    );
    return uncachedTokens * times.prefillMsPerToken +
      outputTokens * times.decodeMsPerToken /
        Math.max(1, times.typicalInFlight);
  }

  /** Returns the latest start that meets the deadline with this probability. */
  latestStart(
    placementRequest: PlacementRequest,
    { lengths, probability }: {
      lengths: OutputLengthDistribution;
      probability: number;
    },
  ): Milliseconds {
    // Default speeds are too unreliable to refuse a request.
    if (!this.#pool.hasKnownSpeeds) return placementRequest.deadline;
    return placementRequest.deadline -
      this.expected(placementRequest, lengths.quantile(probability));
  }
}
