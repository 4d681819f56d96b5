import type { ClientAccountId, Tier } from "@wasabivane/common";

/** Quarters of a doubling keep a quantile within 19 %. */
const BUCKETS_PER_DOUBLING = 4;
/** Covers lengths up to 2^17 tokens. */
const BUCKETS = 17 * BUCKETS_PER_DOUBLING;
/** At this weight a histogram is halved, so that recent responses dominate. */
const MAXIMUM_WEIGHT = 512;
/** Responses after which a histogram weighs as much as its fallback. */
const PRIOR_WEIGHT = 35;
/** Mean of the log-uniform prior, as a share of the limit. */
const PRIOR_MEAN_SHARE = 0.14;
/** Maximum account histograms; the oldest is evicted first. */
const MAXIMUM_HISTOGRAMS = 4_096;

/** Describes a request whose output length is estimated. */
export interface OutputLengthQuery {
  readonly account: ClientAccountId;
  readonly tier: Tier;
  readonly maximumOutputTokens: number;
}

/** Holds the output length of one response. */
export interface OutputLengthObservation {
  readonly account: ClientAccountId;
  readonly tier: Tier;
  readonly outputTokens: number;
  /**
   * Whether the response was complete; otherwise its length is a lower bound.
   */
  readonly isComplete: boolean;
}

/**
 * Estimates the distribution of output lengths, which are unknown when a
 * request arrives. The distribution of a client account and tier falls back to
 * that of the tier and then to a log-uniform prior up to the caller's limit,
 * weighted by the number of responses observed.
 *
 * The caller's limit alone would either make every short request look long, or
 * start long ones too late.
 */
export class OutputLengthEstimator {
  readonly #accounts = new Map<string, Histogram>();
  readonly #tiers = new Map<Tier, Histogram>();

  /** Records the output length of one response. */
  observe(
    { account, tier, outputTokens, isComplete }: OutputLengthObservation,
  ): void {
    if (outputTokens <= 0) return;
    // Ignoring interrupted responses would bias the estimates towards short
    // ones.
    const tokens = isComplete ? outputTokens : outputTokens * 2;
    this.#accountHistogram(account, tier).add(tokens);
    this.#tierHistogram(tier).add(tokens);
  }

  /** Returns the distribution of the output length of one request. */
  distribution(query: OutputLengthQuery): OutputLengthDistribution {
    return new OutputLengthDistribution({
      maximumOutputTokens: query.maximumOutputTokens,
      account: this.#accounts.get(keyOf(query.account, query.tier)),
      tier: this.#tiers.get(query.tier),
    });
  }

  #accountHistogram(account: ClientAccountId, tier: Tier): Histogram {
    const key = keyOf(account, tier);
    const existing = this.#accounts.get(key);
    if (existing !== undefined) return existing;
    if (this.#accounts.size >= MAXIMUM_HISTOGRAMS) {
      this.#accounts.delete(this.#accounts.keys().next().value!);
    }
    const created = new Histogram();
    this.#accounts.set(key, created);
    return created;
  }

  #tierHistogram(tier: Tier): Histogram {
    const histogram = this.#tiers.get(tier) ?? new Histogram();
    this.#tiers.set(tier, histogram);
    return histogram;
  }
}

/**
 * Holds the distribution of the output length of one request, up to its limit.
 */
export class OutputLengthDistribution {
  readonly #limit: number;
  readonly #limitBucket: number;
  readonly #account: Histogram | undefined;
  readonly #tier: Histogram | undefined;

  constructor({ maximumOutputTokens, account, tier }: {
    maximumOutputTokens: number;
    account?: Histogram | undefined;
    tier?: Histogram | undefined;
  }) {
    this.#limit = maximumOutputTokens;
    this.#limitBucket = bucketOf(maximumOutputTokens);
    this.#account = account;
    this.#tier = tier;
  }

  /**
   * Returns the length that a share of `quantile` of the responses do not
   * exceed.
   */
  quantile(quantile: number): number {
    let low = 0;
    let high = this.#limitBucket;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#shareUpTo(middle) >= quantile) high = middle;
      else low = middle + 1;
    }
    return Math.min(this.#limit, Math.ceil(upperLimitOf(low)));
  }

  /** Returns the probability of a response with at most `tokens` tokens. */
  probabilityWithin(tokens: number): number {
    if (tokens >= this.#limit) return 1;
    if (tokens < 1) return 0;
    const bucket = bucketOf(tokens);
    const below = bucket === 0 ? 0 : this.#shareUpTo(bucket - 1);
    const inside = this.#shareUpTo(bucket) - below;
    const start = upperLimitOf(bucket - 1);
    return below + inside * (tokens - start) / (upperLimitOf(bucket) - start);
  }

  /** Returns the mean length, capped at the caller's limit. */
  mean(): number {
    const prior = this.#limit * PRIOR_MEAN_SHARE;
    const tierMean = blend(this.#tier, this.#tier?.mean ?? 0, prior);
    const mean = blend(this.#account, this.#account?.mean ?? 0, tierMean);
    return Math.min(this.#limit, mean);
  }

  #shareUpTo(bucket: number): number {
    const prior = Math.min(1, (bucket + 1) / (this.#limitBucket + 1));
    const tierShare = blend(
      this.#tier,
      this.#tier?.shareUpTo(bucket) ?? 0,
      prior,
    );
    return blend(
      this.#account,
      this.#account?.shareUpTo(bucket) ?? 0,
      tierShare,
    );
  }
}

/** Holds cumulative weights of lengths in logarithmic buckets. */
class Histogram {
  readonly #cumulative = new Float64Array(BUCKETS);
  #sum = 0;
  /** Responses recorded, not reduced by halving. */
  observations = 0;

  get weight(): number {
    return this.#cumulative[BUCKETS - 1]!;
  }

  get mean(): number {
    return this.#sum / this.weight;
  }

  add(tokens: number): void {
    if (this.weight >= MAXIMUM_WEIGHT) this.#halve();
    for (let bucket = bucketOf(tokens); bucket < BUCKETS; bucket++) {
      this.#cumulative[bucket]! += 1;
    }
    this.#sum += tokens;
    this.observations++;
  }

  shareUpTo(bucket: number): number {
    return this.#cumulative[bucket]! / this.weight;
  }

  #halve(): void {
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      this.#cumulative[bucket]! /= 2;
    }
    this.#sum /= 2;
  }
}

function blend(
  histogram: Histogram | undefined,
  value: number,
  fallback: number,
): number {
  if (histogram === undefined) return fallback;
  const weight = histogram.observations /
    (histogram.observations + PRIOR_WEIGHT);
  return weight * value + (1 - weight) * fallback;
}

function bucketOf(tokens: number): number {
  const bucket = Math.floor(Math.log2(tokens) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKETS - 1, Math.max(0, bucket));
}

function upperLimitOf(bucket: number): number {
  return 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING);
}

function keyOf(account: ClientAccountId, tier: Tier): string {
  return `${tier}/${account}`;
}
