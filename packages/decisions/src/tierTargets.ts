import type { Milliseconds, Tier } from "@wasabivane/common";

/**
 * Holds the probabilities of meeting a deadline that requests of a tier
 * require.
 */
export interface TierTargets {
  /** Below this probability a waiting request is refused. */
  readonly abandonBelow: number;
  /** Below this probability a request waits for a better upstream. */
  readonly waitBelow: number;
  /** Replaces `waitBelow` when a lower tier competes for the upstream. */
  readonly contendedWaitBelow: number;
  /** Time for which `waitBelow` applies despite a competing lower tier. */
  readonly contentionGraceMs: Milliseconds;
  /** Share of responses that meet their deadline at the pace of the tier. */
  readonly paceQuantile: number;
}

/**
 * In the top tier, a refusal costs as much as a missed deadline, so requests
 * are abandoned late. In other tiers, a request that is likely to miss its
 * deadline wastes a prefill that another request could use.
 */
const TOP_TIER: TierTargets = {
  abandonBelow: 0.5,
  waitBelow: 0.99,
  contendedWaitBelow: 0.9,
  // Slots at the fastest upstreams become free many times a second.
  contentionGraceMs: 1_000,
  paceQuantile: 0.997,
};
const OTHER_TIERS: TierTargets = {
  abandonBelow: 0.94,
  waitBelow: 0.98,
  // Waiting longer would serve the lower tier and refuse this request later.
  contendedWaitBelow: 0.94,
  contentionGraceMs: 0,
  paceQuantile: 0.98,
};

/** Returns the targets of a tier; `tiers` holds the most urgent tier first. */
export function tierTargetsOf(tier: Tier, tiers: readonly Tier[]): TierTargets {
  return tier === tiers[0] ? TOP_TIER : OTHER_TIERS;
}
