import type { FailureDomain, Milliseconds } from "@wasabivane/common";

/**
 * Failure domains that operators have evacuated. A copy of the store may lack
 * some; these hold until they are listed again, or for a while.
 */
export class Evacuations {
  #listed: ReadonlySet<FailureDomain> = new Set();
  /** Those that a copy of the store lacks, and until when they hold. */
  readonly #retained = new Map<FailureDomain, Milliseconds>();
  #domains: ReadonlySet<FailureDomain> = new Set();

  /** All evacuated failure domains; the same set until it changes. */
  get domains(): ReadonlySet<FailureDomain> {
    return this.#domains;
  }

  /** Those that the store lists. */
  get listed(): ReadonlySet<FailureDomain> {
    return this.#listed;
  }

  /**
   * Replaces what the store lists; with `retainUntil`, those that are missing
   * hold until then. Returns whether the domains changed.
   */
  replace(
    listed: ReadonlySet<FailureDomain>,
    retainUntil?: Milliseconds,
  ): boolean {
    if (retainUntil !== undefined) {
      for (const domain of this.#domains) {
        this.#retained.set(domain, retainUntil);
      }
    }
    for (const domain of listed) this.#retained.delete(domain);
    this.#listed = new Set(listed);
    return this.#update();
  }

  /** Ends what was retained until now; returns whether the domains changed. */
  expire(now: Milliseconds): boolean {
    for (const [domain, until] of this.#retained) {
      if (until <= now) this.#retained.delete(domain);
    }
    return this.#update();
  }

  #update(): boolean {
    const domains = new Set([...this.#listed, ...this.#retained.keys()]);
    const isSame = domains.size === this.#domains.size &&
      [...domains].every((domain) => this.#domains.has(domain));
    if (!isSame) this.#domains = domains;
    return !isSame;
  }
}
