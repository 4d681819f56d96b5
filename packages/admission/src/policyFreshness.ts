import type { Milliseconds } from "@wasabivane/common";

/** Options of a {@link PolicyFreshness}. */
export interface PolicyFreshnessOptions {
  /** A revoked key must be rejected within this time. */
  readonly revocationBound: Milliseconds;
  /** A published policy must be in force within this time. */
  readonly applyBound: Milliseconds;
}

/**
 * Share of the revocation bound for which a confirmation is valid. The rest
 * covers delays of the store's watches and of its responses.
 */
const KEY_LEASE_SHARE = 0.65;
/**
 * Share of the apply bound within which unknown routes and keys may be denied.
 */
const DENIAL_SHARE = 0.6;

/**
 * Tracks when the policy in force was last confirmed to be the newest.
 *
 * Guards against a host that is cut off from the store: it would accept revoked
 * keys and deny new routes and keys. A confirmation by the store, or by a peer
 * with the same policy and a newer confirmation, is a lease; after it expires,
 * requests with a key are refused as not run, and nothing is denied
 * permanently.
 */
export class PolicyFreshness {
  readonly #keyLease: Milliseconds;
  readonly #denialLease: Milliseconds;
  #confirmedAt: Milliseconds = -Infinity;

  constructor({ revocationBound, applyBound }: PolicyFreshnessOptions) {
    this.#keyLease = revocationBound * KEY_LEASE_SHARE;
    this.#denialLease = applyBound * DENIAL_SHARE;
  }

  /**
   * Confirms that the policy in force was the newest at this time; older
   * confirmations have no effect.
   */
  confirm(at: Milliseconds): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  /** Returns the time since the last confirmation. */
  age(now: Milliseconds): Milliseconds {
    return now - this.#confirmedAt;
  }

  /** Whether requests may be served based on their key. */
  isKeyTrusted(now: Milliseconds): boolean {
    return this.age(now) <= this.#keyLease;
  }

  /** Whether unknown routes and keys may be denied. */
  isDenialAllowed(now: Milliseconds): boolean {
    return this.age(now) <= this.#denialLease;
  }
}
