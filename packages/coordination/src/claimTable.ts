import type { EpochMilliseconds, HostId } from "@wasabivane/common";
import { MAX_HOST_CLOCK_SKEW_MS } from "./idempotencyKeys.ts";
import type { Claim, ClaimReply } from "./keyClaims.ts";

/** State of a claim made by this process. */
export type OwnClaimState =
  | "pending"
  | "owned"
  | "dispatched"
  | "released"
  /** No caller is waiting; a late grant is returned. */
  | "abandoned";

/** Claim made by this process, with the home that decides it. */
export interface OwnClaim {
  readonly claim: Claim;
  readonly home: HostId;
  readonly state: OwnClaimState;
  /** Sequence of the last update sent to the home. */
  readonly lastSequence: number;
}

/** Action to take on a home's reply. */
export type ReplyAction =
  | "ignore"
  /** The reply decides the claim. */
  | "settle"
  /** The home is temporarily inactive; send the claim again. */
  | "retry"
  /** The grant arrived after the claim was given up. */
  | "give-back";

/**
 * Tracks the claims of this process. A grant allows one dispatch; it cannot be
 * used after a release or a second time, even if messages are late or
 * duplicated.
 */
export class ClaimTable {
  readonly claims: Map<string, OwnClaim>;

  constructor(
    { claims = new Map() }: { claims?: Map<string, OwnClaim> } = {},
  ) {
    this.claims = claims;
  }

  add(claim: Claim, home: HostId): void {
    this.claims.set(claim.claimId, {
      claim,
      home,
      state: "pending",
      lastSequence: 0,
    });
  }

  /** Applies a home's reply and returns the action to take. */
  applyReply(
    claimId: string,
    reply: ClaimReply,
    { from }: { from: HostId },
  ): ReplyAction {
    const own = this.claims.get(claimId);
    if (own === undefined || own.home !== from) return "ignore";
    const isGrant = reply.kind === "granted";
    if (own.state !== "pending") {
      const isVoid = own.state === "abandoned" || own.state === "released";
      return isVoid && isGrant ? "give-back" : "ignore";
    }
    const isTemporary = reply.kind === "unknown" &&
      reply.reason === "home-inactive";
    if (isTemporary) return "retry";
    this.#setState(own, isGrant ? "owned" : "abandoned");
    return "settle";
  }

  /** Marks a pending claim as abandoned by its caller. */
  abandon(claimId: string): void {
    const own = this.claims.get(claimId);
    if (own?.state === "pending") this.#setState(own, "abandoned");
  }

  /**
   * Uses up a grant, right before the first byte is written; false if nothing
   * may be written. A grant expires with its key, because the home deletes the
   * key then.
   */
  consumeGrant(claimId: string, wallNow: EpochMilliseconds): boolean {
    const own = this.claims.get(claimId);
    if (own?.state !== "owned") return false;
    if (wallNow >= expiryOf(own.claim)) return false;
    this.#setState(own, "dispatched");
    return true;
  }

  /**
   * Restores a used grant after the connection was refused; false if it was not
   * used.
   */
  restoreGrant(claimId: string): boolean {
    const own = this.claims.get(claimId);
    if (own?.state !== "dispatched") return false;
    this.#setState(own, "owned");
    return true;
  }

  /** Returns the sequence of the next update to the home. */
  nextSequence(claimId: string): number {
    const own = this.claims.get(claimId);
    if (own === undefined) return 1;
    const lastSequence = own.lastSequence + 1;
    this.claims.set(claimId, { ...own, lastSequence });
    return lastSequence;
  }

  /** Releases a grant; false if it was already used. */
  release(claimId: string): boolean {
    const own = this.claims.get(claimId);
    if (own?.state === "dispatched") return false;
    if (own !== undefined) this.#setState(own, "released");
    return true;
  }

  /**
   * Deletes claims whose key has expired. Until then a late grant must find its
   * claim.
   */
  removeExpired(wallNow: EpochMilliseconds): void {
    for (const [claimId, { claim, state }] of this.claims) {
      const isOver = expiryOf(claim) + 2 * MAX_HOST_CLOCK_SKEW_MS < wallNow;
      if (isOver && state !== "pending") this.claims.delete(claimId);
    }
  }

  #setState(own: OwnClaim, state: OwnClaimState): void {
    this.claims.set(own.claim.claimId, { ...own, state });
  }
}

/** Returns when a claim's key expires. */
export function expiryOf(claim: Claim): EpochMilliseconds {
  return claim.issuedAt + claim.lifetimeMs;
}
