import type { Milliseconds, Random, Tier } from "@wasabivane/common";
import type { EventLoopLag } from "./eventLoopLag.ts";

/**
 * A request passes four steps on its host, each so much late; the shortest targets are a
 * seventh of a second. Below the lower lag nothing is refused for it.
 */
const HIGHEST_LAG_MS: Milliseconds = 25;
const LOWEST_LAG_MS: Milliseconds = 8;
/** How often the share that is refused in the long run is adjusted, and by how much. */
const ADJUST_MS: Milliseconds = 50;
const GROWTH = 0.06;
const DECAY = 0.02;
/** Some requests are always taken; without them nothing would show that there is room again. */
const MOST_SHED = 0.95;
/** Weight of the newest request in the mix of tiers. */
const MIX_WEIGHT = 0.02;
/** Callers that are refused come back to other hosts, after about this time. */
const RETURN_MS: Milliseconds = 300;

/** What a {@link LoadShedder} is built from. */
export interface LoadShedderOptions {
  readonly lag: EventLoopLag;
  readonly random: Random;
  /** A host that is less behind takes every request. */
  readonly lowestLag?: Milliseconds;
}

/**
 * Which requests a host refuses before it has spent anything on them, because it is
 * behind its own work.
 *
 * Answers the load pattern of offered load above what the host's processor takes. Without
 * it every request is taken, each waits behind all others at each step, and next to none
 * ends in time. The share that is refused grows while the host lags and shrinks slower
 * once it does not, so that it settles where the host keeps up. The least urgent tier is
 * refused first, and a more urgent one only when all of those are.
 */
export class LoadShedder {
  readonly #options: LoadShedderOptions;
  /** Share of the requests that came lately, by tier. */
  readonly #mix = new Map<Tier, number>();
  /** Refusals that a tier's share asks for and that are not given yet: they come evenly. */
  readonly #owed = new Map<Tier, number>();
  /** Share that has been needed lately, without what the lag of the moment asks for. */
  #base = 0;
  #share = 0;
  #adjustedAt: Milliseconds = -Infinity;
  #shedCount = 0;

  constructor(options: LoadShedderOptions) {
    this.#options = options;
  }

  /** Share of all requests that is refused now. */
  get share(): number {
    return this.#share;
  }

  /** Requests refused since the last call. */
  takeCount(): number {
    const count = this.#shedCount;
    this.#shedCount = 0;
    return count;
  }

  /** A request of a tier has come; whether it is refused at once. */
  shouldShed(tier: Tier, now: Milliseconds): boolean {
    this.#adjust(now);
    this.#noteTier(tier);
    if (this.#share <= 0) return false;
    const owed = (this.#owed.get(tier) ?? 0) + this.#shareOf(tier);
    const isShed = owed >= 1;
    this.#owed.set(tier, isShed ? owed - 1 : owed);
    if (isShed) this.#shedCount++;
    return isShed;
  }

  /** When a refused caller should come back. */
  computeRetryDelay(now: Milliseconds): Milliseconds {
    const { lag, random } = this.#options;
    return (RETURN_MS + lag.peak(now)) * (0.5 + random.float());
  }

  /** The lag of the moment counts at once; what it asks for again and again is kept. */
  #adjust(now: Milliseconds): void {
    const { lag: { sustained: standing }, lowestLag = LOWEST_LAG_MS } =
      this.#options;
    const excess = (standing - lowestLag) / (HIGHEST_LAG_MS - LOWEST_LAG_MS);
    const steps = Math.floor((now - this.#adjustedAt) / ADJUST_MS);
    if (steps > 0) {
      this.#adjustedAt = now;
      const step = excess > 0 ? GROWTH * Math.min(1, excess) : -DECAY * steps;
      this.#base = Math.min(MOST_SHED, Math.max(0, this.#base + step));
    }
    this.#share = Math.min(MOST_SHED, this.#base + Math.max(0, excess));
  }

  #noteTier(tier: Tier): void {
    if (!this.#mix.has(tier)) this.#mix.set(tier, 0);
    for (const [other, share] of this.#mix) {
      const target = other === tier ? 1 : 0;
      this.#mix.set(other, share + MIX_WEIGHT * (target - share));
    }
  }

  /** Share of a tier's own requests that is refused: what less urgent ones do not cover. */
  #shareOf(tier: Tier): number {
    let below = 0;
    for (const [other, share] of this.#mix) if (other > tier) below += share;
    const own = this.#mix.get(tier) ?? 0;
    const share = own <= 0 ? 0 : (this.#share - below) / own;
    return Math.min(MOST_SHED, Math.max(0, share));
  }
}
