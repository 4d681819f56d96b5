import type { Milliseconds } from "@wasabivane/common";
import { TOKENS_PER_BLOCK } from "./prefixCacheIndex.ts";
import type { OutputLengthDistribution } from "./outputLengthEstimator.ts";
import type { PlacementRequest } from "./types.ts";
import type { UpstreamPool } from "./upstreamPool.ts";

/** What requests take of a pool, at the upstreams that answer them soonest. */
export class ServiceTime {
  readonly #pool: UpstreamPool;

  constructor(pool: UpstreamPool) {
    this.#pool = pool;
  }

  /** Time from the start to the whole answer. */
  expected(ask: PlacementRequest, outputTokens: number): Milliseconds {
    const times = this.#pool.fastestTimes(outputTokens, ask.promptTokens);
    return ask.promptTokens * times.prefillMsPerToken +
      outputTokens * times.decodeMsPerToken;
  }

  /**
   * Time of an upstream that the request takes from others: its prompt the whole
   * upstream, each output token its share of a batch.
   */
  cost(
    ask: PlacementRequest,
    outputTokens: number,
    now: Milliseconds,
  ): Milliseconds {
    const times = this.#pool.fastestTimes(outputTokens, ask.promptTokens);
    const [holder] = this.#pool.cache.holders(ask.prefixDigests, now);
    const cachedTokens = (holder?.blocks ?? 0) * TOKENS_PER_BLOCK;
    const uncachedTokens = Math.max(0, ask.promptTokens - cachedTokens);
    return uncachedTokens * times.prefillMsPerToken +
      outputTokens * times.decodeMsPerToken /
        Math.max(1, times.typicalInFlight);
  }

  /** The last moment at which a start leaves this chance of meeting the deadline. */
  latestStart(
    ask: PlacementRequest,
    { lengths, probability }: {
      lengths: OutputLengthDistribution;
      probability: number;
    },
  ): Milliseconds {
    // Nothing was answered yet: a guess at the speed is no ground for a refusal.
    if (!this.#pool.hasKnownSpeeds) return ask.deadline;
    return ask.deadline - this.expected(ask, lengths.quantile(probability));
  }
}
