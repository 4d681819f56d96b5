import type { Milliseconds, Tier } from "@wasabivane/common";

/** Answers that come late are worth less than half of what they are worth on time. */
const LATE_SHARE = 0.4;
/** Work that holds a place so many times as long is of the next class. */
const CLASS_RATIO = 4;
/** Longest work of the first class. */
const SHORTEST_MS: Milliseconds = 200;
const CLASSES = 6;

/**
 * Order of the requests that wait for a service, over all hosts: by tier, and within
 * it by classes of worth for the time that a place is held. The smaller goes first.
 */
export type Urgency = number;

/** A request as far as its urgency goes. */
export interface UrgentWork {
  readonly tier: Tier;
  /** Expected time in a place, above 0. */
  readonly hold: Milliseconds;
  /** It cannot be on time any more. */
  readonly isLate: boolean;
  /** It goes on with begun work. */
  readonly isBegun: boolean;
}

/** Worth of a request, of one of its tier that is on time, for each millisecond in a place. */
export function worthOfPlace(
  { hold, isLate }: Pick<UrgentWork, "hold" | "isLate">,
): number {
  return (isLate ? LATE_SHARE : 1) / hold;
}

/** What hosts compare when they leave places to each other. */
export function urgencyOf(work: UrgentWork): Urgency {
  return work.tier * CLASSES + (work.isBegun ? 0 : classOf(work));
}

function classOf(work: UrgentWork): number {
  const steps = Math.log(1 / (worthOfPlace(work) * SHORTEST_MS)) /
    Math.log(CLASS_RATIO);
  return Math.min(CLASSES - 1, Math.max(0, Math.ceil(steps)));
}
