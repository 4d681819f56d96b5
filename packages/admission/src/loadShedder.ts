import type { Milliseconds, Random, Tier } from "@wasabivane/common";
import type { EventLoopLag } from "./eventLoopLag.ts";
import { type ArrivingRequest, RecentAdmissions } from "./recentAdmissions.ts";

/**
 * Lags between which the shed share rises from none to the maximum. Each step
 * of a request on its host is delayed by the lag.
 */
const MAXIMUM_LAG_MS: Milliseconds = 25;
const MINIMUM_LAG_MS: Milliseconds = 8;
/**
 * Interval at which the long-term share is adjusted, and the steps by which it
 * grows and shrinks.
 */
const ADJUST_INTERVAL_MS: Milliseconds = 50;
const GROWTH_STEP = 0.06;
const DECAY_STEP = 0.02;
/**
 * Some requests are always admitted, as only they show that the lag is gone.
 */
const MAXIMUM_SHARE = 0.95;
/**
 * Requests to shed that a tier defers until accounts with the mean of admissions
 * or more send some; beyond it, any account's request is shed.
 */
const MAXIMUM_DEFERRED = 8;
/** Weight of the newest request in the tier mix. */
const TIER_MIX_WEIGHT = 0.02;
/** Mean time after which a refused caller should retry. */
const RETRY_DELAY_MS: Milliseconds = 300;

/** Dependencies and settings of a {@link LoadShedder}. */
export interface LoadShedderOptions {
  readonly lag: EventLoopLag;
  readonly random: Random;
  /** Lag below which every request is admitted. */
  readonly lowestLag?: Milliseconds;
}

/**
 * Refuses a share of incoming requests, before any work is spent on them, when
 * the event loop of the host lags.
 *
 * Above its capacity a host that admits everything delays each request at every
 * step, and almost none is on time. The shed share grows quickly while the host
 * lags and shrinks slowly afterwards. The least urgent tiers are shed first, and
 * within a tier the accounts that this host has lately admitted most from.
 */
export class LoadShedder {
  readonly #options: LoadShedderOptions;
  /** Share of recent requests by tier. */
  readonly #tierMix = new Map<Tier, number>();
  /**
   * Accumulated share of shed requests by tier, which spreads refusals evenly.
   */
  readonly #accumulated = new Map<Tier, number>();
  readonly #admissions = new RecentAdmissions();
  /** Long-term share, without the part due to the current lag. */
  #longTermShare = 0;
  #share = 0;
  #adjustedAt: Milliseconds = -Infinity;
  #shedCount = 0;

  constructor(options: LoadShedderOptions) {
    this.#options = options;
  }

  /** Share of all requests that is shed at present. */
  get share(): number {
    return this.#share;
  }

  /** Returns the number of requests shed since the last call. */
  takeCount(): number {
    const count = this.#shedCount;
    this.#shedCount = 0;
    return count;
  }

  /** Returns whether to refuse a request that has just arrived. */
  shouldShed(request: ArrivingRequest, now: Milliseconds): boolean {
    this.#adjust(now);
    this.#recordTier(request.tier);
    this.#admissions.recordArrival(request, now);
    const isShed = this.#isInShare(request);
    if (isShed) this.#shedCount++;
    else this.#admissions.recordAdmission(request);
    return isShed;
  }

  /**
   * Accounts below the mean are spared until more requests are deferred than the
   * others are likely to make up for.
   */
  #isInShare(request: ArrivingRequest): boolean {
    const { tier } = request;
    const share = this.#shareOf(tier);
    const former = this.#accumulated.get(tier) ?? 0;
    // Requests that were deferred in the last overload are not shed in the next.
    const accumulated = share > 0 ? former + share : former % 1;
    const isShed = accumulated >= 1 + MAXIMUM_DEFERRED ||
      accumulated >= 1 && this.#admissions.hasMeanOf(request);
    this.#accumulated.set(tier, isShed ? accumulated - 1 : accumulated);
    return isShed;
  }

  /** Returns after which time a refused caller should retry. */
  computeRetryDelay(now: Milliseconds): Milliseconds {
    const { lag, random } = this.#options;
    return (RETRY_DELAY_MS + lag.peak(now)) * (0.5 + random.float());
  }

  /**
   * Combines the share that the current lag requires with the long-term share.
   */
  #adjust(now: Milliseconds): void {
    const { lag: { sustained }, lowestLag = MINIMUM_LAG_MS } = this.#options;
    const excess = (sustained - lowestLag) / (MAXIMUM_LAG_MS - MINIMUM_LAG_MS);
    const steps = Math.floor((now - this.#adjustedAt) / ADJUST_INTERVAL_MS);
    if (steps > 0) {
      this.#adjustedAt = now;
      this.#admissions.refresh(now);
      const step = excess > 0
        ? GROWTH_STEP * Math.min(1, excess)
        : -DECAY_STEP * steps;
      this.#longTermShare = Math.min(
        MAXIMUM_SHARE,
        Math.max(0, this.#longTermShare + step),
      );
    }
    this.#share = Math.min(
      MAXIMUM_SHARE,
      this.#longTermShare + Math.max(0, excess),
    );
  }

  #recordTier(tier: Tier): void {
    if (!this.#tierMix.has(tier)) this.#tierMix.set(tier, 0);
    for (const [other, share] of this.#tierMix) {
      const target = other === tier ? 1 : 0;
      this.#tierMix.set(other, share + TIER_MIX_WEIGHT * (target - share));
    }
  }

  /**
   * Returns the share of a tier's own requests to shed: what less urgent tiers
   * do not cover.
   */
  #shareOf(tier: Tier): number {
    let below = 0;
    for (const [other, share] of this.#tierMix) {
      if (other > tier) below += share;
    }
    const own = this.#tierMix.get(tier) ?? 0;
    const share = own <= 0 ? 0 : (this.#share - below) / own;
    return Math.min(MAXIMUM_SHARE, Math.max(0, share));
  }
}
