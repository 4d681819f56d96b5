import type { Milliseconds, Tier } from "@wasabivane/common";
import type { TokenTimes } from "./speedEstimator.ts";

/** One request as it arrives. */
export interface PaceSample {
  readonly tier: Tier;
  /** Time from now to its deadline. */
  readonly remaining: Milliseconds;
  readonly meanOutputTokens: number;
  /** A length that few answers of its kind exceed. */
  readonly longOutputTokens: number;
}

/** One upstream that gets a bound. */
export interface PacedUpstream {
  readonly times: TokenTimes;
  /** Requests that may be in flight so that answers keep the pace. */
  paceLimit: number;
  /** The tier whose pace it keeps; undefined when it keeps none. */
  paceTier: Tier | undefined;
}

/** Share of the time of an output token that grows with the requests in flight. */
export const LOAD_DEPENDENT_SHARE = 0.7;
/** Time to first token that is set aside in each deadline. */
const FIRST_TOKEN_MS = 2_000;
/** An upstream that needs most of the pace when idle is left to less urgent tiers. */
const IDLE_SHARE = 0.7;
/** Places for a tier beyond its mean use, for the bursts within it. */
const HEADROOM = 1.2;
/** The pace is set a little faster, since the batch swings about its bound. */
const MARGIN = 0.9;
/** The bound rises at most to so many times the usual work in flight. */
const MAXIMUM_STEP = 4;
/** With fewer requests in flight an engine's step is nearly all fixed cost. */
const MINIMUM_BOUND = 4;
/** Share of the way to its new value that a bound goes at once, upwards and downwards. */
const RISING_GAIN = 0.5;
const FALLING_GAIN = 0.3;
const RATE_GAIN = 0.1;
const SAMPLE_GAIN = 0.02;
/** A tier without requests for so long needs no places. */
const FORGET_MS = 20_000;

interface TierDemand {
  readonly tier: Tier;
  asked: number;
  perMs: number;
  remaining: Milliseconds;
  meanOutputTokens: number;
  longOutputTokens: number;
  lastAt: Milliseconds;
}

/**
 * Answers the load pattern of overload with deadlines: a batching engine gives
 * more answers the fuller its batch, but each slower, until the long answers of
 * urgent tiers miss their deadlines. Each tier needs a pace, which is the time to
 * its deadline over the length of a long answer. The fastest upstreams keep the
 * pace of the top tier, as many as its load takes; the next keep that of the
 * next tier; what no tier claims runs as full as its engine allows. Without it,
 * either all run full and a tenth of the top tier comes late, or none does and a
 * third of the throughput is lost.
 *
 * Grounds: where prompts fill most of the steps, the time of an output token
 * grows nearly in proportion to the batch; where weights do, hardly. Seven
 * tenths lies between, and the bound is corrected from new answers twice a second.
 */
export class PaceAllocator {
  readonly #tiers = new Map<Tier, TierDemand>();
  #since: Milliseconds = 0;

  /** Takes in a request that arrives. */
  recordArrival(sample: PaceSample, now: Milliseconds): void {
    const known = this.#tiers.get(sample.tier);
    if (known === undefined) {
      this.#tiers.set(sample.tier, {
        ...sample,
        asked: 1,
        perMs: 0,
        lastAt: now,
      });
      return;
    }
    known.asked++;
    known.lastAt = now;
    known.remaining = moved(known.remaining, sample.remaining);
    known.meanOutputTokens = moved(
      known.meanOutputTokens,
      sample.meanOutputTokens,
    );
    known.longOutputTokens = moved(
      known.longOutputTokens,
      sample.longOutputTokens,
    );
  }

  /** Gives each upstream its bound; the fastest come first. */
  assignLimits(upstreams: readonly PacedUpstream[], now: Milliseconds): void {
    const demands = this.#closePeriod(now);
    let rung = 0;
    let places = placesFor(demands[0]);
    for (const upstream of upstreams) {
      while (rung < demands.length - 1 && places <= 0) {
        rung++;
        places = placesFor(demands[rung]);
      }
      const demand = demands.slice(rung).find((candidate) =>
        boundFor(upstream.times, paceOf(candidate)) > 0
      );
      const bound = demand === undefined
        ? Infinity
        : boundFor(upstream.times, paceOf(demand));
      upstream.paceTier = demand?.tier;
      upstream.paceLimit = approach(upstream.paceLimit, bound);
      if (demand === demands[rung]) places -= upstream.paceLimit;
    }
  }

  #closePeriod(now: Milliseconds): TierDemand[] {
    const elapsed = Math.max(1, now - this.#since);
    this.#since = now;
    for (const [tier, demand] of this.#tiers) {
      demand.perMs += RATE_GAIN * (demand.asked / elapsed - demand.perMs);
      demand.asked = 0;
      if (now - demand.lastAt > FORGET_MS) this.#tiers.delete(tier);
    }
    return [...this.#tiers.values()]
      .sort((left, right) => left.tier - right.tier);
  }
}

/** Time of one output token with this many requests in flight. */
export function decodeTimeAt(
  { decodeMsPerToken, typicalInFlight }: TokenTimes,
  inFlight: number,
): Milliseconds {
  const load = inFlight / Math.max(1, typicalInFlight);
  return decodeMsPerToken *
    (1 - LOAD_DEPENDENT_SHARE + LOAD_DEPENDENT_SHARE * load);
}

/** Requests in flight at which an upstream just keeps a pace; 0 when it hardly can. */
function boundFor(times: TokenTimes, pace: Milliseconds): number {
  if (decodeTimeAt(times, 1) > pace * IDLE_SHARE) return 0;
  const speedup = pace / times.decodeMsPerToken;
  // Only part of the time grows with the load, so there is more room above it.
  const load = speedup > 1 ? 1 + (speedup - 1) / LOAD_DEPENDENT_SHARE : speedup;
  const bound = Math.min(MAXIMUM_STEP, load) * times.typicalInFlight;
  return Math.max(MINIMUM_BOUND, Math.round(bound));
}

function paceOf({ remaining, longOutputTokens }: TierDemand): Milliseconds {
  return MARGIN * Math.max(1, remaining - FIRST_TOKEN_MS) / longOutputTokens;
}

/** Requests of a tier that are in flight at its pace. */
function placesFor(demand: TierDemand | undefined): number {
  if (demand === undefined) return 0;
  const spell = FIRST_TOKEN_MS / 2 + demand.meanOutputTokens * paceOf(demand);
  return HEADROOM * demand.perMs * spell;
}

function moved(former: number, sample: number): number {
  return former + SAMPLE_GAIN * (sample - former);
}

function approach(former: number, target: number): number {
  if (!Number.isFinite(former) || !Number.isFinite(target)) return target;
  const gain = target > former ? RISING_GAIN : FALLING_GAIN;
  return former + gain * (target - former);
}
