import type { ClientAccountId, Tier } from "@wasabivane/common";

/** Buckets for each doubling of the length; a bucket spans a fifth. */
const BUCKETS_PER_DOUBLING = 4;
/** Covers lengths up to 2^17 tokens. */
const BUCKETS = 17 * BUCKETS_PER_DOUBLING;
/** A histogram this heavy is halved, so that about the last 500 answers count. */
const MAXIMUM_WEIGHT = 512;
/** Answers after which a histogram counts as much as the one it refines. */
const CONFIDENCE_WEIGHT = 35;
/** An even spread over the doublings up to a bound has about this mean. */
const PRIOR_MEAN_SHARE = 0.14;
/** Bound on histograms; the least recently made are forgotten. */
const MAXIMUM_HISTOGRAMS = 4_096;

/** What a length is asked for. */
export interface OutputLengthQuery {
  readonly account: ClientAccountId;
  readonly tier: Tier;
  readonly maximumOutputTokens: number;
}

/** One finished answer, or one that was cut off. */
export interface OutputLengthObservation {
  readonly account: ClientAccountId;
  readonly tier: Tier;
  readonly outputTokens: number;
  /** False when the answer was cut off, so that its length is a lower bound. */
  readonly isComplete: boolean;
}

/**
 * Answers the load pattern of outputs that differ a hundredfold and are unknown
 * at arrival: distributions of the output length for each client account and
 * tier, which refine those of the tier, which refine an even spread over the
 * doublings up to the caller's own bound. Without it, the caller's bound would
 * be the only figure, and either every short request would be taken for a long
 * one or long ones would be started too late and be thrown away.
 *
 * Grounds: quarter doublings keep a quantile within 19 %; halving at 512 answers
 * follows a change of habit within a few hundred answers.
 */
export class OutputLengthEstimator {
  readonly #accounts = new Map<string, Histogram>();
  readonly #tiers = new Map<Tier, Histogram>();

  /** Takes in how long one answer was. */
  observe(
    { account, tier, outputTokens, isComplete: isWhole }:
      OutputLengthObservation,
  ): void {
    if (outputTokens <= 0) return;
    // A cut answer would have been longer; dropping it would bias all
    // estimates towards the short answers that were in time.
    const tokens = isWhole ? outputTokens : outputTokens * 2;
    this.#accountHistogram(account, tier).add(tokens);
    this.#tierHistogram(tier).add(tokens);
  }

  /** What is known of the length of one request's answer. */
  distribution(query: OutputLengthQuery): OutputLengthDistribution {
    return new OutputLengthDistribution({
      maximumOutputTokens: query.maximumOutputTokens,
      account: this.#accounts.get(keyOf(query.account, query.tier)),
      tier: this.#tiers.get(query.tier),
    });
  }

  #accountHistogram(account: ClientAccountId, tier: Tier): Histogram {
    const key = keyOf(account, tier);
    const known = this.#accounts.get(key);
    if (known !== undefined) return known;
    if (this.#accounts.size >= MAXIMUM_HISTOGRAMS) {
      this.#accounts.delete(this.#accounts.keys().next().value!);
    }
    const added = new Histogram();
    this.#accounts.set(key, added);
    return added;
  }

  #tierHistogram(tier: Tier): Histogram {
    const histogram = this.#tiers.get(tier) ?? new Histogram();
    this.#tiers.set(tier, histogram);
    return histogram;
  }
}

/** The output length of one request, up to the caller's own bound. */
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

  /** The length that a share `quantile` of such answers does not exceed. */
  quantile(quantile: number): number {
    let low = 0;
    let high = this.#limitBucket;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#shareUpTo(middle) >= quantile) high = middle;
      else low = middle + 1;
    }
    return Math.min(this.#limit, Math.ceil(upperEnd(low)));
  }

  /** The chance that the answer has at most so many tokens. */
  probabilityWithin(tokens: number): number {
    if (tokens >= this.#limit) return 1;
    if (tokens < 1) return 0;
    const bucket = bucketOf(tokens);
    const below = bucket === 0 ? 0 : this.#shareUpTo(bucket - 1);
    const inside = this.#shareUpTo(bucket) - below;
    const start = upperEnd(bucket - 1);
    return below + inside * (tokens - start) / (upperEnd(bucket) - start);
  }

  /** Mean of the lengths, cut at the caller's bound. */
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

/** Cumulative weights of lengths in logarithmic buckets. */
class Histogram {
  readonly #cumulative = new Float64Array(BUCKETS);
  #sum = 0;
  /** Answers taken in, also those that count for less by now. */
  seen = 0;

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
    this.seen++;
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
  const trust = histogram.seen / (histogram.seen + CONFIDENCE_WEIGHT);
  return trust * value + (1 - trust) * fallback;
}

function bucketOf(tokens: number): number {
  const bucket = Math.floor(Math.log2(tokens) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKETS - 1, Math.max(0, bucket));
}

function upperEnd(bucket: number): number {
  return 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING);
}

function keyOf(account: ClientAccountId, tier: Tier): string {
  return `${tier}/${account}`;
}
