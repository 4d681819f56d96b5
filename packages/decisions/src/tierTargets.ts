import type { Milliseconds, Tier } from "@wasabivane/common";

/** How sure of its deadline a request of one tier should be. */
export interface TierTargets {
  /** It is given up when its chance falls below this. */
  readonly abandonBelow: number;
  /** It waits for a better upstream while its chance is below this. */
  readonly waitBelow: number;
  /** The same once it has waited a while and a lower tier would take the place. */
  readonly contendedWaitBelow: number;
  /** How long it waits for a better upstream that a lower tier may use meanwhile. */
  readonly contentionGraceMs: Milliseconds;
  /** The pace of the tier lets this share of its answers be in time. */
  readonly paceQuantile: number;
}

/**
 * A miss of the top tier costs the most, and so does giving it up: it runs as
 * long as it is as likely as not to end in time, and gets the upstreams where it
 * hardly can miss. In the other tiers a doubtful request wastes a prefill that
 * another request could use. The figures are the best of the rounds in
 * docs/MEASUREMENTS.md: lower ones raise goodput under overload by up to 2 % and
 * double the wasted prefill.
 */
const TOP_TIER: TierTargets = {
  abandonBelow: 0.5,
  waitBelow: 0.99,
  contendedWaitBelow: 0.9,
  // Places at the fastest upstreams come free many times a second.
  contentionGraceMs: 1_000,
  paceQuantile: 0.997,
};
const OTHER_TIERS: TierTargets = {
  abandonBelow: 0.94,
  waitBelow: 0.98,
  // Waiting on would have the lower tier served and this one given up later.
  contendedWaitBelow: 0.94,
  contentionGraceMs: 0,
  paceQuantile: 0.98,
};

/** The targets of a tier among those of a pool, the most urgent first. */
export function tierTargetsOf(tier: Tier, tiers: readonly Tier[]): TierTargets {
  return tier === tiers[0] ? TOP_TIER : OTHER_TIERS;
}
