import type { Milliseconds, Tier } from "@wasabivane/common";

/**
 * Time in places that short work of lower tiers may take before more urgent work,
 * for each unit that more urgent work took, which waits at most so much longer. On
 * a heavy day the shortest kind needs 5 % of the time in places; with this room it
 * earned 71 of 100 units of its credit there, 38 without, the kind above it 69 and 76.
 */
const ROOM_SHARE = 0.15;
/** Room that is saved up at most: a few short requests at once. */
const MOST_ROOM_MS: Milliseconds = 1_000;
/** Work passes only what holds a place so many times as long. */
const PASSING_RATIO = 4;
const USUAL_WEIGHT = 0.05;

/** A request that starts, or would pass. */
export interface ShortRequest {
  readonly tier: Tier;
  /** Expected time in a place. */
  readonly hold: Milliseconds;
}

/**
 * Bounded room for short work of lower tiers beside long work of higher ones.
 *
 * Answers the load pattern of long answers that fill every place while requests
 * wait that would hold one for a tenth of the time. In strict order of tiers these
 * wait for seconds, become late and are refused, although all of them together cost
 * the higher tiers next to nothing. Whoever is more urgent still goes first in all
 * else: only what its own starts have earned is given away.
 */
export class BypassBudget {
  /** Usual time in a place of the requests of each tier that started. */
  readonly #usual = new Map<Tier, Milliseconds>();
  #room: Milliseconds = 0;

  /** A request started in its turn, or passed more urgent ones. */
  recordStart({ tier, hold }: ShortRequest, isPassing: boolean): void {
    const usual = this.#usual.get(tier) ?? hold;
    this.#usual.set(tier, usual + USUAL_WEIGHT * (hold - usual));
    const room = this.#room + (isPassing ? -hold : ROOM_SHARE * hold);
    this.#room = Math.min(MOST_ROOM_MS, room);
  }

  /** Those of the given requests, in their order, that may pass more urgent ones now. */
  selectBypassing<Item extends ShortRequest>(items: readonly Item[]): Item[] {
    const turn = this.startSelection();
    return items.filter((item) =>
      turn.isTierAllowed(item.tier) && turn.take(item)
    );
  }

  /** One look at what may pass: what is taken in it leaves less room for the rest. */
  startSelection(): BypassSelection {
    return new BypassSelection(this.#room, (tier) => this.#leastAbove(tier));
  }

  /** Least usual time in a place among the more urgent tiers; 0 where there is none. */
  #leastAbove(tier: Tier): Milliseconds {
    let least = Infinity;
    for (const [other, usual] of this.#usual) {
      if (other < tier) least = Math.min(least, usual);
    }
    return Number.isFinite(least) ? least : 0;
  }
}

/** See {@link BypassBudget.startSelection}. */
export class BypassSelection {
  #room: Milliseconds;
  readonly #leastAbove: (tier: Tier) => Milliseconds;

  constructor(room: Milliseconds, leastAbove: (tier: Tier) => Milliseconds) {
    this.#room = room;
    this.#leastAbove = leastAbove;
  }

  /** Whether work of a tier can pass at all now. */
  isTierAllowed(tier: Tier): boolean {
    return this.#room > 0 && this.#leastAbove(tier) > 0;
  }

  /** Whether this work passes; it takes its room then. */
  take({ tier, hold }: ShortRequest): boolean {
    if (hold > this.#room) return false;
    if (PASSING_RATIO * hold > this.#leastAbove(tier)) return false;
    this.#room -= hold;
    return true;
  }
}
