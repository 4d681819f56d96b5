import type { Milliseconds } from "@wasabivane/common";

/** Holds the time to first token of one request and the load at its grant. */
export interface FirstTokenSample {
  /** Time from the grant to the first token, or until now if it is overdue. */
  readonly elapsed: Milliseconds;
  /** Prompt tokens to be computed at the upstream, its own included. */
  readonly backlogTokens: number;
  /** Prompt tokens of the request itself that were not cached. */
  readonly uncachedTokens: number;
  /** Requests in flight at the grant, itself included. */
  readonly inFlightRequests: number;
  readonly inFlightTokens: number;
}

/** Options of an {@link AdaptiveConcurrencyLimit}. */
export interface AdaptiveConcurrencyLimitOptions {
  readonly initialRequests: number;
  readonly maximumRequests: number;
}

/** Assumed tokens of one request, which scale the token limit. */
const TOKENS_PER_REQUEST = 4_000;
/** Queueing delay inside the engine that is not a sign of overload. */
const TOLERATED_DELAY_MS = 400;
/** Tolerated ratio of the time to first token to the baseline. */
const TOLERATED_RATIO = 2.5;
/** Above this ratio the upstream is slow or stuck rather than overloaded. */
const SEVERE_RATIO = 8;
const MILD_SHRINK_FACTOR = 0.9;
const SEVERE_SHRINK_FACTOR = 0.6;
/** Minimum time between reductions: one full batch delays many first tokens. */
const MINIMUM_SHRINK_INTERVAL_MS = 500;
/** Minimum utilization of a limit at which it grows. */
const MINIMUM_UTILIZATION = 0.8;
/** Fast growth ends at this share of the limit that was too high. */
const FAST_GROWTH_SHARE = 0.85;
/** The baseline is the minimum over the current and the previous period. */
const BASELINE_PERIOD_MS = 15_000;
const MINIMUM_BASELINE_TOKENS = 256;
/**
 * Minimum share of a request's own prompt in the backlog of a baseline sample.
 */
const MINIMUM_OWN_PROMPT_SHARE = 0.8;

/**
 * Limits the requests and tokens in flight at one upstream, so that requests
 * wait in the scheduler's prioritized queue rather than in the first-come,
 * first-served queue of the engine. The limits adapt to the time to first
 * token, compared with a learned baseline: they grow while it is tolerable and
 * shrink when it is not.
 */
export class AdaptiveConcurrencyLimit {
  readonly #maximumRequests: number;
  readonly #initialRequests: number;
  #requests: number;
  #tokens: number;
  #fastGrowthRequests = Infinity;
  #fastGrowthTokens = Infinity;
  #lastShrunkAt = -Infinity;
  #baseline = Infinity;
  #previousBaseline = Infinity;
  #baselinePeriodStart = 0;
  #isGrowthPaused = false;

  constructor(
    { initialRequests, maximumRequests }: AdaptiveConcurrencyLimitOptions,
  ) {
    this.#initialRequests = Math.min(initialRequests, maximumRequests);
    this.#maximumRequests = maximumRequests;
    this.#requests = this.#initialRequests;
    this.#tokens = this.#initialRequests * TOKENS_PER_REQUEST;
  }

  /** Returns the maximum number of requests in flight. */
  get requests(): number {
    return Math.max(1, Math.floor(this.#requests));
  }

  /**
   * Returns the maximum number of tokens in flight; a single request may exceed
   * it.
   */
  get tokens(): number {
    return this.#tokens;
  }

  /** Pauses or resumes the growth of the limits. */
  setGrowthPaused(isPaused: boolean): void {
    this.#isGrowthPaused = isPaused;
  }

  /** Adjusts the limits to the first token of a request. */
  observe(sample: FirstTokenSample, now: Milliseconds): void {
    this.#updateBaseline(sample, now);
    const ratio = this.#delayRatio(sample);
    if (ratio > TOLERATED_RATIO) return this.#shrink(sample, ratio, now);
    if (!this.#isGrowthPaused) this.#grow(sample);
  }

  /** Adjusts the limits to an overdue first token; they can only shrink. */
  observeOverdue(sample: FirstTokenSample, now: Milliseconds): void {
    const ratio = this.#delayRatio(sample);
    if (ratio > TOLERATED_RATIO) this.#shrink(sample, ratio, now);
  }

  /**
   * Returns the time after which a first token with this backlog is overdue.
   */
  overdueAfter(backlogTokens: number): Milliseconds {
    return TOLERATED_DELAY_MS +
      TOLERATED_RATIO * this.#baselineTime(backlogTokens);
  }

  /** Resets the limits to one request and lets them grow fast again. */
  beginSlowStart(): void {
    this.#fastGrowthRequests = Math.max(
      this.#initialRequests,
      this.#requests * FAST_GROWTH_SHARE,
    );
    this.#fastGrowthTokens = Math.max(
      this.#initialRequests * TOKENS_PER_REQUEST,
      this.#tokens * FAST_GROWTH_SHARE,
    );
    this.#requests = 1;
    this.#tokens = TOKENS_PER_REQUEST;
  }

  #delayRatio({ elapsed, backlogTokens }: FirstTokenSample): number {
    if (elapsed <= TOLERATED_DELAY_MS) return 0;
    return (elapsed - TOLERATED_DELAY_MS) /
      Math.max(1, this.#baselineTime(backlogTokens));
  }

  #baselineTime(backlogTokens: number): Milliseconds {
    const baseline = Math.min(this.#baseline, this.#previousBaseline);
    if (baseline === Infinity) return TOLERATED_DELAY_MS;
    return baseline * Math.max(backlogTokens, MINIMUM_BASELINE_TOKENS);
  }

  #updateBaseline(
    { elapsed, backlogTokens, uncachedTokens }: FirstTokenSample,
    now: Milliseconds,
  ): void {
    if (uncachedTokens < MINIMUM_BASELINE_TOKENS) return;
    // Part of the other prompts may be computed already, so a backlog that
    // mostly consists of them would make the baseline too low.
    if (uncachedTokens < backlogTokens * MINIMUM_OWN_PROMPT_SHARE) return;
    if (now - this.#baselinePeriodStart > BASELINE_PERIOD_MS) {
      this.#previousBaseline = this.#baseline;
      this.#baseline = Infinity;
      this.#baselinePeriodStart = now;
    }
    this.#baseline = Math.min(this.#baseline, elapsed / backlogTokens);
  }

  #grow({ inFlightRequests, inFlightTokens }: FirstTokenSample): void {
    if (inFlightRequests >= this.#requests * MINIMUM_UTILIZATION) {
      const isFast = this.#requests < this.#fastGrowthRequests;
      this.#requests = Math.min(
        this.#maximumRequests,
        this.#requests + (isFast ? 1 : 1 / this.#requests),
      );
    }
    if (inFlightTokens >= this.#tokens * MINIMUM_UTILIZATION) {
      const isFast = this.#tokens < this.#fastGrowthTokens;
      const step = isFast ? 1 : 1 / this.#requests;
      this.#tokens += TOKENS_PER_REQUEST * step;
    }
  }

  #shrink(
    { inFlightRequests, inFlightTokens }: FirstTokenSample,
    ratio: number,
    now: Milliseconds,
  ): void {
    if (now - this.#lastShrunkAt < MINIMUM_SHRINK_INTERVAL_MS) return;
    this.#lastShrunkAt = now;
    const isSevere = ratio > SEVERE_RATIO;
    const factor = isSevere ? SEVERE_SHRINK_FACTOR : MILD_SHRINK_FACTOR;
    const requestUtilization = inFlightRequests / this.#requests;
    const tokenUtilization = inFlightTokens / this.#tokens;
    if (requestUtilization >= tokenUtilization) {
      // A slow or stuck upstream does not show which limit it can sustain.
      if (!isSevere) {
        this.#fastGrowthRequests = this.#requests * FAST_GROWTH_SHARE;
      }
      this.#requests = Math.max(1, this.#requests * factor);
    } else {
      if (!isSevere) this.#fastGrowthTokens = this.#tokens * FAST_GROWTH_SHARE;
      this.#tokens = Math.max(TOKENS_PER_REQUEST, this.#tokens * factor);
    }
  }
}
