import type { ClientAccountId, Milliseconds, Tier } from "@wasabivane/common";

/** Time constant with which admissions are forgotten. */
const DECAY_MS: Milliseconds = 2_000;
/** Count below which an account is forgotten. */
const MINIMUM_COUNT = 0.05;

/** A request's tier and account; requests without an account form one account. */
export interface ArrivingRequest {
  readonly tier: Tier;
  readonly account?: ClientAccountId | undefined;
}

interface Admissions {
  /** Admitted requests of all tiers, decayed at the last refresh. */
  count: number;
  /** When a request last arrived, by tier. */
  readonly arrivals: Map<Tier, Milliseconds>;
}

/**
 * Counts the requests that one host has lately admitted from each account, and
 * tells which accounts of a tier have had more than the mean.
 */
export class RecentAdmissions {
  readonly #accounts = new Map<ClientAccountId | undefined, Admissions>();
  /** Mean count of the accounts that use a tier, as of the last refresh. */
  #means = new Map<Tier, number>();
  #refreshedAt: Milliseconds = -Infinity;

  /** Number of accounts that are counted. */
  get size(): number {
    return this.#accounts.size;
  }

  recordArrival({ tier, account }: ArrivingRequest, now: Milliseconds): void {
    let admissions = this.#accounts.get(account);
    if (admissions === undefined) {
      admissions = { count: 0, arrivals: new Map() };
      this.#accounts.set(account, admissions);
    }
    admissions.arrivals.set(tier, now);
  }

  /** Counts an admission of a request whose arrival was recorded. */
  recordAdmission({ account }: ArrivingRequest): void {
    const admissions = this.#accounts.get(account);
    if (admissions !== undefined) admissions.count++;
  }

  /**
   * Whether an account has had as many admissions as the mean account of a tier,
   * or more.
   */
  hasMeanOf({ tier, account }: ArrivingRequest): boolean {
    const count = this.#accounts.get(account)?.count ?? 0;
    return count >= (this.#means.get(tier) ?? 0);
  }

  /** Decays all counts and computes the means anew. */
  refresh(now: Milliseconds): void {
    const factor = Math.exp((this.#refreshedAt - now) / DECAY_MS);
    this.#refreshedAt = now;
    const totals = new Map<Tier, { sum: number; accounts: number }>();
    for (const [account, admissions] of this.#accounts) {
      admissions.count *= factor;
      this.#dropOldArrivals(admissions, now);
      const { count, arrivals } = admissions;
      if (count < MINIMUM_COUNT && arrivals.size === 0) {
        this.#accounts.delete(account);
      }
      for (const tier of arrivals.keys()) {
        const total = totals.get(tier);
        if (total === undefined) totals.set(tier, { sum: count, accounts: 1 });
        else {
          total.sum += count;
          total.accounts++;
        }
      }
    }
    this.#means = new Map(
      Array.from(totals, ([tier, total]) => [tier, total.sum / total.accounts]),
    );
  }

  #dropOldArrivals({ arrivals }: Admissions, now: Milliseconds): void {
    for (const [tier, arrivedAt] of arrivals) {
      if (now - arrivedAt > DECAY_MS) arrivals.delete(tier);
    }
  }
}
