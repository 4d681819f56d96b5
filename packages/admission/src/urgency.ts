import type { Tier } from "@wasabivane/common";

/**
 * Order of the requests that wait for a service, over all hosts: by tier, begun work
 * first. The smaller goes first.
 */
export type Urgency = number;

const BEGUN = 0;
const NEW = 1;
const PLACES = 2;

/** A request as far as its urgency goes. */
export interface UrgentWork {
  readonly tier: Tier;
  /** It goes on with begun work. */
  readonly isBegun: boolean;
}

/** What hosts compare when they leave places to each other. */
export function urgencyOf({ tier, isBegun }: UrgentWork): Urgency {
  return PLACES * tier + (isBegun ? BEGUN : NEW);
}
