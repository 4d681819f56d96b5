import type { Milliseconds, Tier } from "@wasabivane/common";

/**
 * Slot time that short requests of lower tiers may use ahead of more urgent
 * ones, as a share of the slot time that those used.
 */
const BUDGET_SHARE = 0.15;
/** Budget that can accumulate at most. */
const MAXIMUM_BUDGET_MS: Milliseconds = 1_000;
/**
 * A request bypasses only those whose expected slot time is this many times as
 * long.
 */
const BYPASS_RATIO = 4;
const MEAN_SLOT_TIME_WEIGHT = 0.05;

/** A request that starts, or may bypass others. */
export interface BypassCandidate {
  readonly tier: Tier;
  /** Expected time in a slot. */
  readonly slotTime: Milliseconds;
}

/**
 * Budget for starting short requests of lower tiers ahead of long requests of
 * higher tiers.
 *
 * When long responses occupy every slot, short requests of lower tiers would
 * wait until they are late, although they take very little slot time. Each
 * start of a more urgent request earns a small share of its slot time for them.
 */
export class BypassBudget {
  /** Mean expected slot time of the started requests, by tier. */
  readonly #meanSlotTimes = new Map<Tier, Milliseconds>();
  #budget: Milliseconds = 0;

  /**
   * Records the start of a request, in queue order or by bypassing more urgent
   * ones.
   */
  recordStart({ tier, slotTime }: BypassCandidate, isBypassing: boolean): void {
    const mean = this.#meanSlotTimes.get(tier) ?? slotTime;
    this.#meanSlotTimes.set(
      tier,
      mean + MEAN_SLOT_TIME_WEIGHT * (slotTime - mean),
    );
    const budget = this.#budget +
      (isBypassing ? -slotTime : BUDGET_SHARE * slotTime);
    this.#budget = Math.min(MAXIMUM_BUDGET_MS, budget);
  }

  /**
   * Returns those of the requests, in order, that may bypass more urgent ones
   * now.
   */
  selectBypassing<Item extends BypassCandidate>(
    items: readonly Item[],
  ): Item[] {
    const selection = this.startSelection();
    return items.filter((item) =>
      selection.isTierAllowed(item.tier) && selection.reserve(item)
    );
  }

  /**
   * Starts a selection of bypassing requests, which share the current budget.
   */
  startSelection(): BypassSelection {
    return new BypassSelection(
      this.#budget,
      (tier) => this.#lowestMeanAbove(tier),
    );
  }

  /**
   * Returns the lowest mean slot time of the more urgent tiers; 0 if there are
   * none.
   */
  #lowestMeanAbove(tier: Tier): Milliseconds {
    let lowest = Infinity;
    for (const [other, mean] of this.#meanSlotTimes) {
      if (other < tier) lowest = Math.min(lowest, mean);
    }
    return Number.isFinite(lowest) ? lowest : 0;
  }
}

/** See {@link BypassBudget.startSelection}. */
export class BypassSelection {
  #budget: Milliseconds;
  readonly #lowestMeanAbove: (tier: Tier) => Milliseconds;

  constructor(
    budget: Milliseconds,
    lowestMeanAbove: (tier: Tier) => Milliseconds,
  ) {
    this.#budget = budget;
    this.#lowestMeanAbove = lowestMeanAbove;
  }

  /** Whether requests of a tier may bypass others at present. */
  isTierAllowed(tier: Tier): boolean {
    return this.#budget > 0 && this.#lowestMeanAbove(tier) > 0;
  }

  /** Returns the longest slot time with which a request of a tier may bypass. */
  maximumSlotTime(tier: Tier): Milliseconds {
    return Math.min(this.#budget, this.#lowestMeanAbove(tier) / BYPASS_RATIO);
  }

  /** Whether the request may bypass others; reserves its slot time if so. */
  reserve({ tier, slotTime }: BypassCandidate): boolean {
    if (slotTime > this.#budget) return false;
    if (BYPASS_RATIO * slotTime > this.#lowestMeanAbove(tier)) return false;
    this.#budget -= slotTime;
    return true;
  }
}
