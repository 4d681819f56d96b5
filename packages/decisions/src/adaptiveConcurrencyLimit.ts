import type { Milliseconds } from "@wasabivane/common";

/** What a first token showed about the upstream. */
export interface FirstTokenSample {
  /** Time from the grant to the first token, or until now when it is overdue. */
  readonly elapsed: Milliseconds;
  /** Prompt tokens that had to be computed there, its own included. */
  readonly backlogTokens: number;
  /** Its own share of them. */
  readonly uncachedTokens: number;
  /** Work in flight there at the grant, its own included. */
  readonly inFlightRequests: number;
  readonly inFlightTokens: number;
}

/** Options of an {@link AdaptiveConcurrencyLimit}. */
export interface AdaptiveConcurrencyLimitOptions {
  readonly initialRequests: number;
  readonly maximumRequests: number;
}

/** Tokens that a request is taken to hold before anything was learned. */
const TOKENS_PER_REQUEST = 4_000;
/** Waiting inside the engine that is no sign of a full batch: a few long steps. */
const TOLERATED_WAIT_MS = 400;
/** First tokens may take so many times what their backlog takes when undisturbed. */
const TOLERATED_RATIO = 2.5;
/** From this ratio on the upstream is slow or stuck, not merely full. */
const SEVERE_RATIO = 8;
const MILD_SHRINK = 0.9;
const SEVERE_SHRINK = 0.6;
/** One full batch delays many first tokens; they count as one sign. */
const SHRINK_PERIOD_MS = 500;
/** The bound grows only when it was used to this share, or nothing was learned. */
const USED_SHARE = 0.8;
/** The fast growth ends at this share of the bound that proved too high. */
const FAST_GROWTH_SHARE = 0.85;
/** The floor is the least of the last one to two of these periods. */
const FLOOR_PERIOD_MS = 15_000;
const MINIMUM_FLOOR_TOKENS = 256;
/** A first token shows the floor when its own prompt was so much of the backlog. */
const OWN_SHARE = 0.8;

/**
 * Answers the load pattern of an engine that admits all that comes and queues it
 * first come, first served, where no tier is seen any more, and of an engine
 * that turns slow. The bound of work in flight follows the time to first token
 * against its own learned floor: within tolerance it grows while it is used,
 * beyond it shrinks, at most twice a second. Without it, urgent work waits
 * behind whatever was sent before, inside the engine.
 *
 * Grounds: a full batch shows as waiting beyond the backlog; 0.4 s is a few of
 * the longest steps (512 prompt tokens at 3,000 tokens/s), and interleaved decode
 * steps stretch prefill by up to 1.5, so 2.5 is no false alarm. Shrinking by
 * 0.6 twice a second takes a bound of 64 to 5 in 2.5 s.
 */
export class AdaptiveConcurrencyLimit {
  readonly #maximumRequests: number;
  readonly #initialRequests: number;
  #requests: number;
  #tokens: number;
  #fastUntilRequests = Infinity;
  #fastUntilTokens = Infinity;
  #shrunkAt = -Infinity;
  #floor = Infinity;
  #formerFloor = Infinity;
  #floorSince = 0;
  #isGrowthHeld = false;

  constructor(
    { initialRequests, maximumRequests }: AdaptiveConcurrencyLimitOptions,
  ) {
    this.#initialRequests = Math.min(initialRequests, maximumRequests);
    this.#maximumRequests = maximumRequests;
    this.#requests = this.#initialRequests;
    this.#tokens = this.#initialRequests * TOKENS_PER_REQUEST;
  }

  /** Requests that may be in flight. */
  get requests(): number {
    return Math.max(1, Math.floor(this.#requests));
  }

  /** Tokens that may be in flight; a lone request may exceed them. */
  get tokens(): number {
    return this.#tokens;
  }

  /** A lagging report may hold growth back, never shrink or raise the bound. */
  setGrowthPaused(isHeld: boolean): void {
    this.#isGrowthHeld = isHeld;
  }

  /** Takes in a first token. */
  observe(sample: FirstTokenSample, now: Milliseconds): void {
    this.#learnFloor(sample, now);
    const ratio = this.#ratio(sample);
    if (ratio > TOLERATED_RATIO) return this.#shrink(sample, ratio, now);
    if (!this.#isGrowthHeld) this.#grow(sample);
  }

  /** Takes in a first token that is still missing; it can only shrink the bound. */
  observeOverdue(sample: FirstTokenSample, now: Milliseconds): void {
    const ratio = this.#ratio(sample);
    if (ratio > TOLERATED_RATIO) this.#shrink(sample, ratio, now);
  }

  /** When a first token with this backlog counts as overdue. */
  overdueAfter(backlogTokens: number): Milliseconds {
    return TOLERATED_WAIT_MS +
      TOLERATED_RATIO * this.#undisturbed(backlogTokens);
  }

  /** Starts small again after an ejection, with fast growth. */
  beginSlowStart(): void {
    this.#fastUntilRequests = Math.max(
      this.#initialRequests,
      this.#requests * FAST_GROWTH_SHARE,
    );
    this.#fastUntilTokens = Math.max(
      this.#initialRequests * TOKENS_PER_REQUEST,
      this.#tokens * FAST_GROWTH_SHARE,
    );
    this.#requests = 1;
    this.#tokens = TOKENS_PER_REQUEST;
  }

  #ratio({ elapsed, backlogTokens }: FirstTokenSample): number {
    if (elapsed <= TOLERATED_WAIT_MS) return 0;
    return (elapsed - TOLERATED_WAIT_MS) /
      Math.max(1, this.#undisturbed(backlogTokens));
  }

  #undisturbed(backlogTokens: number): Milliseconds {
    const floor = Math.min(this.#floor, this.#formerFloor);
    if (floor === Infinity) return TOLERATED_WAIT_MS;
    return floor * Math.max(backlogTokens, MINIMUM_FLOOR_TOKENS);
  }

  #learnFloor(
    { elapsed, backlogTokens, uncachedTokens }: FirstTokenSample,
    now: Milliseconds,
  ): void {
    if (uncachedTokens < MINIMUM_FLOOR_TOKENS) return;
    // How much of the others' prompts was computed already is not known; a
    // sample that rests on them would show a floor that is far too low.
    if (uncachedTokens < backlogTokens * OWN_SHARE) return;
    if (now - this.#floorSince > FLOOR_PERIOD_MS) {
      this.#formerFloor = this.#floor;
      this.#floor = Infinity;
      this.#floorSince = now;
    }
    this.#floor = Math.min(this.#floor, elapsed / backlogTokens);
  }

  #grow({ inFlightRequests, inFlightTokens }: FirstTokenSample): void {
    if (inFlightRequests >= this.#requests * USED_SHARE) {
      const isFast = this.#requests < this.#fastUntilRequests;
      this.#requests = Math.min(
        this.#maximumRequests,
        this.#requests + (isFast ? 1 : 1 / this.#requests),
      );
    }
    if (inFlightTokens >= this.#tokens * USED_SHARE) {
      const isFast = this.#tokens < this.#fastUntilTokens;
      const step = isFast ? 1 : 1 / this.#requests;
      this.#tokens += TOKENS_PER_REQUEST * step;
    }
  }

  #shrink(
    { inFlightRequests, inFlightTokens }: FirstTokenSample,
    ratio: number,
    now: Milliseconds,
  ): void {
    if (now - this.#shrunkAt < SHRINK_PERIOD_MS) return;
    this.#shrunkAt = now;
    const isSevere = ratio > SEVERE_RATIO;
    const factor = isSevere ? SEVERE_SHRINK : MILD_SHRINK;
    const requestUse = inFlightRequests / this.#requests;
    const tokenUse = inFlightTokens / this.#tokens;
    if (requestUse >= tokenUse) {
      // A slow upstream shows nothing of the batch that it holds when it is not.
      if (!isSevere) {
        this.#fastUntilRequests = this.#requests * FAST_GROWTH_SHARE;
      }
      this.#requests = Math.max(1, this.#requests * factor);
    } else {
      if (!isSevere) this.#fastUntilTokens = this.#tokens * FAST_GROWTH_SHARE;
      this.#tokens = Math.max(TOKENS_PER_REQUEST, this.#tokens * factor);
    }
  }
}
