import type { Milliseconds } from "@wasabivane/common";

/** Options of a {@link PolicyFreshness}. */
export interface PolicyFreshnessOptions {
  /** Within this time of being withdrawn, a key must have stopped working. */
  readonly revocationBound: Milliseconds;
  /** Within this time of being published, a policy must be in force. */
  readonly applyBound: Milliseconds;
}

/**
 * Share of the revocation bound for which a proof of freshness serves. The rest
 * covers a store whose watches hear nothing for a second while changes are made,
 * and the time that an answer takes.
 */
const KEY_LEASE_SHARE = 0.65;
/** Share of the apply bound within which "there is no such route or key" may be said. */
const DENIAL_SHARE = 0.6;

/**
 * How long ago the policy in force was known to be the newest.
 *
 * Answers the failure of a host that is cut off from the store: it would go on
 * serving keys that were withdrawn, and deny routes and keys that were added.
 * A proof (an answer of the store, or a peer that holds the same policy with a
 * newer proof) is a lease; when it has run out, requests with a key are
 * refused as not run, and nothing is denied for good.
 */
export class PolicyFreshness {
  readonly #keyLease: Milliseconds;
  readonly #denialLease: Milliseconds;
  #provenAt: Milliseconds = -Infinity;

  constructor({ revocationBound, applyBound }: PolicyFreshnessOptions) {
    this.#keyLease = revocationBound * KEY_LEASE_SHARE;
    this.#denialLease = applyBound * DENIAL_SHARE;
  }

  /** The policy in force was the newest at this moment; older proofs change nothing. */
  confirm(at: Milliseconds): void {
    this.#provenAt = Math.max(this.#provenAt, at);
  }

  /** Time since the last proof. */
  age(now: Milliseconds): Milliseconds {
    return now - this.#provenAt;
  }

  /** Whether requests may be served on the word of a key. */
  isKeyTrusted(now: Milliseconds): boolean {
    return this.age(now) <= this.#keyLease;
  }

  /** Whether an unknown route or key may be denied. */
  isDenialAllowed(now: Milliseconds): boolean {
    return this.age(now) <= this.#denialLease;
  }
}
