import type { Milliseconds, Tier } from "@wasabivane/common";
import type { TokenTimes } from "./speedEstimator.ts";

/** Holds the deadline and the estimated length of a request that arrives. */
export interface PaceSample {
  readonly tier: Tier;
  /** Time until the deadline. */
  readonly remaining: Milliseconds;
  readonly meanOutputTokens: number;
  /** High quantile of the output length. */
  readonly longOutputTokens: number;
}

/** Holds the pace limit of one upstream and the times that it is based on. */
export interface PacedUpstream {
  readonly times: TokenTimes;
  /** Maximum requests in flight at which responses keep the pace. */
  paceLimit: number;
  /** Tier whose pace the limit is for; `undefined` if there is none. */
  paceTier: Tier | undefined;
}

/**
 * Share of the time per output token that grows with the requests in flight.
 */
export const LOAD_DEPENDENT_SHARE = 0.7;
/** Part of each deadline that is reserved for the time to first token. */
const FIRST_TOKEN_ALLOWANCE_MS = 2_000;
/** Maximum share of the pace that one token may take on an idle upstream. */
const MAXIMUM_IDLE_SHARE = 0.7;
/** Factor on the slots that a tier needs on average, to absorb bursts. */
const SLOT_HEADROOM = 1.2;
/** Factor on the pace, since the batch size fluctuates around its limit. */
const PACE_MARGIN = 0.9;
/** Maximum ratio of the limit to the typical requests in flight. */
const MAXIMUM_LOAD = 4;
/** With fewer requests in flight, fixed costs dominate each engine step. */
const MINIMUM_LIMIT = 4;
/** Smoothing factors of a limit that rises or falls. */
const RISING_WEIGHT = 0.5;
const FALLING_WEIGHT = 0.3;
const RATE_WEIGHT = 0.1;
const SAMPLE_WEIGHT = 0.02;
/** Time after the last request at which a tier is removed. */
const TIER_EXPIRY_MS = 20_000;

interface TierDemand {
  readonly tier: Tier;
  arrivals: number;
  arrivalsPerMs: number;
  remaining: Milliseconds;
  meanOutputTokens: number;
  longOutputTokens: number;
  lastArrivalAt: Milliseconds;
}

/**
 * Limits the requests in flight at each upstream, so that responses of urgent
 * tiers meet their deadlines. A larger batch raises the throughput of an engine
 * but slows each response down. The pace of a tier is the time per output token
 * at which a long response meets its deadline. The fastest upstreams, as many
 * as the load requires, are limited to the pace of the most urgent tier, the
 * next ones to that of the next tier. Upstreams that no tier needs have no pace
 * limit.
 */
export class PaceAllocator {
  readonly #tiers = new Map<Tier, TierDemand>();
  #periodStart: Milliseconds = 0;

  /** Records a request that arrives. */
  recordArrival(sample: PaceSample, now: Milliseconds): void {
    const existing = this.#tiers.get(sample.tier);
    if (existing === undefined) {
      this.#tiers.set(sample.tier, {
        ...sample,
        arrivals: 1,
        arrivalsPerMs: 0,
        lastArrivalAt: now,
      });
      return;
    }
    existing.arrivals++;
    existing.lastArrivalAt = now;
    existing.remaining = movingAverage(existing.remaining, sample.remaining);
    existing.meanOutputTokens = movingAverage(
      existing.meanOutputTokens,
      sample.meanOutputTokens,
    );
    existing.longOutputTokens = movingAverage(
      existing.longOutputTokens,
      sample.longOutputTokens,
    );
  }

  /** Updates the limit of each upstream; the fastest must come first. */
  assignLimits(upstreams: readonly PacedUpstream[], now: Milliseconds): void {
    const demands = this.#closePeriod(now);
    let tierIndex = 0;
    let slots = slotsFor(demands[0]);
    for (const upstream of upstreams) {
      while (tierIndex < demands.length - 1 && slots <= 0) {
        tierIndex++;
        slots = slotsFor(demands[tierIndex]);
      }
      const demand = demands.slice(tierIndex).find((candidate) =>
        limitFor(upstream.times, paceOf(candidate)) > 0
      );
      const limit = demand === undefined
        ? Infinity
        : limitFor(upstream.times, paceOf(demand));
      upstream.paceTier = demand?.tier;
      upstream.paceLimit = smoothed(upstream.paceLimit, limit);
      if (demand === demands[tierIndex]) slots -= upstream.paceLimit;
    }
  }

  #closePeriod(now: Milliseconds): TierDemand[] {
    const elapsed = Math.max(1, now - this.#periodStart);
    this.#periodStart = now;
    for (const [tier, demand] of this.#tiers) {
      demand.arrivalsPerMs += RATE_WEIGHT *
        (demand.arrivals / elapsed - demand.arrivalsPerMs);
      demand.arrivals = 0;
      if (now - demand.lastArrivalAt > TIER_EXPIRY_MS) this.#tiers.delete(tier);
    }
    return [...this.#tiers.values()]
      .sort((left, right) => left.tier - right.tier);
  }
}

/** Returns the time per output token with `inFlight` requests in flight. */
export function decodeTimeAt(
  { decodeMsPerToken, typicalInFlight }: TokenTimes,
  inFlight: number,
): Milliseconds {
  const load = inFlight / Math.max(1, typicalInFlight);
  return decodeMsPerToken *
    (1 - LOAD_DEPENDENT_SHARE + LOAD_DEPENDENT_SHARE * load);
}

/**
 * Returns the requests in flight at which a pace is kept; 0 if it is too slow.
 */
function limitFor(times: TokenTimes, pace: Milliseconds): number {
  if (decodeTimeAt(times, 1) > pace * MAXIMUM_IDLE_SHARE) return 0;
  const speedup = pace / times.decodeMsPerToken;
  // Only part of the time grows with the load, so the load may exceed the
  // speedup.
  const load = speedup > 1 ? 1 + (speedup - 1) / LOAD_DEPENDENT_SHARE : speedup;
  const limit = Math.min(MAXIMUM_LOAD, load) * times.typicalInFlight;
  return Math.max(MINIMUM_LIMIT, Math.round(limit));
}

function paceOf({ remaining, longOutputTokens }: TierDemand): Milliseconds {
  return PACE_MARGIN * Math.max(1, remaining - FIRST_TOKEN_ALLOWANCE_MS) /
    longOutputTokens;
}

/** Returns the slots that a tier needs at its pace. */
function slotsFor(demand: TierDemand | undefined): number {
  if (demand === undefined) return 0;
  const duration = FIRST_TOKEN_ALLOWANCE_MS / 2 +
    demand.meanOutputTokens * paceOf(demand);
  return SLOT_HEADROOM * demand.arrivalsPerMs * duration;
}

function movingAverage(previous: number, sample: number): number {
  return previous + SAMPLE_WEIGHT * (sample - previous);
}

function smoothed(previous: number, target: number): number {
  if (!Number.isFinite(previous) || !Number.isFinite(target)) return target;
  const weight = target > previous ? RISING_WEIGHT : FALLING_WEIGHT;
  return previous + weight * (target - previous);
}
