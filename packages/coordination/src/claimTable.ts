import type { EpochMilliseconds, HostId } from "@wasabivane/common";
import { MAX_HOST_CLOCK_SKEW_MS } from "./idempotencyKeys.ts";
import type { Claim, ClaimReply } from "./keyClaims.ts";

/** What became of one own claim. */
export type OwnClaimState =
  | "pending"
  | "owned"
  | "dispatched"
  | "released"
  /** Nobody waits for it any more; a late grant is given back. */
  | "abandoned";

/** A claim of this process with the home that decides it. */
export interface OwnClaim {
  readonly claim: Claim;
  readonly home: HostId;
  readonly state: OwnClaimState;
  /** Updates sent to the home so far. */
  readonly lastSequence: number;
}

/** What to do about an answer of a home. */
export type ReplyAction =
  | "ignore"
  /** The claim ended with it. */
  | "settle"
  /** The home lacks leases at present; ask again. */
  | "retry"
  /** The grant came too late for anybody to use it. */
  | "give-back";

/**
 * The claims of one process. A grant allows one dispatch: it is spent by the
 * first one and void after a release, whatever messages arrive late or twice.
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

  /** Takes a home's answer. */
  applyReply(
    claimId: string,
    answer: ClaimReply,
    { from }: { from: HostId },
  ): ReplyAction {
    const own = this.claims.get(claimId);
    if (own === undefined || own.home !== from) return "ignore";
    const isGrant = answer.kind === "granted";
    if (own.state !== "pending") {
      const isVoid = own.state === "abandoned" || own.state === "released";
      return isVoid && isGrant ? "give-back" : "ignore";
    }
    const isPassing = answer.kind === "unknown" &&
      answer.reason === "home-inactive";
    if (isPassing) return "retry";
    this.#setState(own, isGrant ? "owned" : "abandoned");
    return "settle";
  }

  /** Nobody waits for the claim any more. */
  abandon(claimId: string): void {
    const own = this.claims.get(claimId);
    if (own?.state === "pending") this.#setState(own, "abandoned");
  }

  /**
   * Spends a grant, right before the first byte is written; false when nothing
   * may be written. A process that slept past the key's lifetime must not write:
   * the home forgot the key, and callers were told so.
   */
  consumeGrant(claimId: string, wallNow: EpochMilliseconds): boolean {
    const own = this.claims.get(claimId);
    if (own?.state !== "owned") return false;
    if (wallNow >= expiryOf(own.claim)) return false;
    this.#setState(own, "dispatched");
    return true;
  }

  /** Takes a spent grant back whose connection was refused before a byte left; false when it was not spent. */
  restoreGrant(claimId: string): boolean {
    const own = this.claims.get(claimId);
    if (own?.state !== "dispatched") return false;
    this.#setState(own, "owned");
    return true;
  }

  /** Numbers the next update to the home. */
  nextSequence(claimId: string): number {
    const own = this.claims.get(claimId);
    if (own === undefined) return 1;
    const updates = own.lastSequence + 1;
    this.claims.set(claimId, { ...own, lastSequence: updates });
    return updates;
  }

  /** Gives up a grant; false when it was spent. */
  release(claimId: string): boolean {
    const own = this.claims.get(claimId);
    if (own?.state === "dispatched") return false;
    if (own !== undefined) this.#setState(own, "released");
    return true;
  }

  /** Forgets claims whose key is past use; until then a late grant finds its claim. */
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

/** When a claim's key may not be dispatched any more. */
export function expiryOf(claim: Claim): EpochMilliseconds {
  return claim.issuedAt + claim.lifetimeMs;
}
