import type { Milliseconds, Random } from "@wasabivane/common";
import type { Urgency } from "./urgency.ts";

/** Time for which a place is left to a peer whose waiting request is more urgent. */
const YIELD_MS: Milliseconds = 60;

/** Free places that a host may fill. */
export interface PlaceShare {
  /** Those that no more urgent request elsewhere is about to take. */
  readonly left: number;
  /** Of those that its own requests left. */
  readonly own: number;
  /** Of those that all hosts see. */
  readonly common: number;
}

/** Nothing to fill. */
export const NO_PLACES: PlaceShare = { left: 0, own: 0, common: 0 };

/** What a host sees when places of a service may be filled. */
export interface PlaceSituation {
  readonly free: number;
  /** Requests that wait here. */
  readonly waiting: number;
  /** Urgency of the one whose turn it is here. */
  readonly urgency: Urgency;
  /** Short requests here that may pass more urgent ones. */
  readonly passing: number;
  /** What waits at the peers. */
  readonly elsewhere: readonly { urgency: Urgency; count: number }[];
  /** Places that requests of this host have just left. */
  readonly ownFreed: number;
}

/**
 * Shares the free places of one service among hosts that decide alone.
 *
 * Answers the load pattern of many hosts that see the same free place: without
 * shares several fill it at once and their requests queue in the engine, where no
 * tier is seen. A place is left to what is more urgent elsewhere, but not kept idle
 * for a peer that does not come; places that a host's own requests left are its to
 * fill, as peers see them only when told; the rest is shared by who waits with how
 * much.
 */
export class PlaceShares {
  readonly #random: Random;
  #yieldingSince: Milliseconds | undefined;

  constructor(random: Random) {
    this.#random = random;
  }

  of(situation: PlaceSituation, now: Milliseconds): PlaceShare {
    const { free, waiting, urgency, elsewhere, ownFreed } = situation;
    if (free <= 0) {
      this.#yieldingSince = undefined;
      return NO_PLACES;
    }
    const passing = Math.min(free, situation.passing);
    const left = free - sumOf(elsewhere, (other) => other < urgency);
    if (left <= 0) return { ...NO_PLACES, common: passing || this.#yield(now) };
    this.#yieldingSince = undefined;
    const equal = sumOf(elsewhere, (other) => other === urgency);
    if (equal === 0) return { left, own: 0, common: left };
    const open = Math.max(0, left - ownFreed);
    const fair = open * waiting / (waiting + equal);
    const whole = Math.floor(fair);
    const common = whole + (this.#random.float() < fair - whole ? 1 : 0);
    return { left, own: ownFreed, common: Math.max(passing, common) };
  }

  /** A peer that is asked to fill a place and does not must not keep it idle. */
  #yield(now: Milliseconds): number {
    this.#yieldingSince ??= now;
    if (now - this.#yieldingSince < YIELD_MS) return 0;
    this.#yieldingSince = undefined;
    return 1;
  }
}

function sumOf(
  waiting: readonly { urgency: Urgency; count: number }[],
  matches: (urgency: Urgency) => boolean,
): number {
  let sum = 0;
  for (const { urgency, count } of waiting) {
    if (matches(urgency)) sum += count;
  }
  return sum;
}
