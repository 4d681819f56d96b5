import type {
  ClientAccountId,
  EpochMilliseconds,
  HostId,
  IdempotencyKey,
  Incarnation,
  Milliseconds,
} from "@wasabivane/common";
import {
  KEY_LIFETIME_MS,
  MAX_CALLER_CLOCK_SKEW_MS,
  MAX_HOST_CLOCK_SKEW_MS,
} from "./idempotencyKeys.ts";
import type { Claim, Claimant, ClaimReply, Dispatch } from "./keyClaims.ts";

/** Keys that one home holds; a full table refuses new ones. */
export const MAX_HELD_KEYS = 200_000;
/** How long after the start of a tenure keys must be issued: no former home took them, whatever the clocks. */
export const TENURE_MARGIN_MS = MAX_CALLER_CLOCK_SKEW_MS +
  2 * MAX_HOST_CLOCK_SKEW_MS;

/**
 * How long a key that was given back is granted to nobody. Its caller has been
 * told "not run". A resend that was on its way then, and was granted the key
 * afterwards, would make that false; after this time every claim of before has
 * been given up by its claimant.
 */
export const RELEASE_GRACE_MS: Milliseconds = 4_000;

/** What a home knows of one key. */
export interface KeyRecord {
  readonly bodyDigest: string;
  readonly expiresAt: EpochMilliseconds;
  claimId: string;
  owner: Claimant | undefined;
  attempt: number;
  state: "waiting" | "dispatched" | "finished" | "released" | "unknown";
  dispatch: Dispatch | undefined;
  /** Sequence of the newest update of the owner. */
  lastSequence: number;
  /** When its last owner gave it back. */
  releasedAt: EpochMilliseconds;
}

/** A home's circumstances at the moment of a claim. */
export interface ClaimContext {
  readonly wallNow: EpochMilliseconds;
  /** Since when this home alone decides about the key, on its wall clock. */
  readonly tenureStartedAt: EpochMilliseconds;
  readonly isTerminated: (host: HostId, incarnation: Incarnation) => boolean;
}

/** Names the owner's claim whose state changed. */
export interface ClaimReference {
  readonly account: ClientAccountId;
  readonly key: IdempotencyKey;
  readonly claimId: string;
  readonly sequence: number;
}

/** Bounds of a {@link KeyTable}. */
export interface KeyTableOptions {
  readonly maximum?: number;
  /** Least time that a key is held; also how old a key may be that it takes anew. */
  readonly lifetimeMs?: Milliseconds;
  readonly tenureMarginMs?: Milliseconds;
  readonly releaseGraceMs?: Milliseconds;
  readonly records?: Map<string, KeyRecord>;
}

/**
 * The table of a key's home. It grants each key to one owner: who may dispatch
 * is decided here and nowhere else, as long as this home alone is active.
 */
export class KeyTable {
  readonly records: Map<string, KeyRecord>;
  readonly #maximum: number;
  readonly #lifetimeMs: Milliseconds;
  readonly #tenureMarginMs: Milliseconds;
  readonly #releaseGraceMs: Milliseconds;

  constructor(
    {
      maximum = MAX_HELD_KEYS,
      lifetimeMs = KEY_LIFETIME_MS,
      tenureMarginMs = TENURE_MARGIN_MS,
      releaseGraceMs = RELEASE_GRACE_MS,
      records = new Map(),
    }: KeyTableOptions = {},
  ) {
    this.#maximum = maximum;
    this.#lifetimeMs = lifetimeMs;
    this.#tenureMarginMs = tenureMarginMs;
    this.#releaseGraceMs = releaseGraceMs;
    this.records = records;
  }

  /** Decides a claim; the caller of this has checked that the home is active. */
  claim(claim: Claim, context: ClaimContext): ClaimReply {
    const record = this.records.get(recordKey(claim));
    if (record === undefined) return this.#claimUnheard(claim, context);
    if (record.bodyDigest !== claim.bodyDigest) return { kind: "mismatch" };
    return this.#claimHeld(claim, { record, context });
  }

  /** Notes an update's sequence; false for one that was overtaken by a newer one. */
  advanceSequence(update: ClaimReference): boolean {
    const record = this.#find(update);
    if (record === undefined || update.sequence <= record.lastSequence) {
      return false;
    }
    record.lastSequence = update.sequence;
    return true;
  }

  /** The upstream refused the connection: no byte left, the owner may try another. */
  markRefused(update: ClaimReference): void {
    const record = this.#find(update);
    if (record?.state !== "dispatched") return;
    record.state = "waiting";
    record.dispatch = undefined;
  }

  /** The owner is about to write to an upstream. */
  markDispatched(update: ClaimReference, dispatch: Dispatch): void {
    const record = this.#find(update);
    if (record === undefined || record.state === "finished") return;
    record.state = "dispatched";
    record.dispatch = dispatch;
  }

  /** The owner has the whole answer. */
  markFinished(update: ClaimReference, dispatch: Dispatch): void {
    const record = this.#find(update);
    if (record === undefined) return;
    record.state = "finished";
    record.dispatch = dispatch;
  }

  /**
   * The owner gave up without having written a byte, and never will under this
   * claim. Where a caller was told "unknown" meanwhile, that stays the answer.
   */
  release(update: ClaimReference, wallNow: EpochMilliseconds): void {
    const record = this.#find(update);
    if (record?.state !== "waiting") return;
    record.state = "released";
    record.owner = undefined;
    record.attempt--;
    record.releasedAt = wallNow;
  }

  /** Whether the key was given back under this claim and nobody was granted it since. */
  isReleasedBy(update: ClaimReference): boolean {
    return this.#find(update)?.state === "released";
  }

  /** Forgets keys that no host takes any more. */
  expire(wallNow: EpochMilliseconds): void {
    for (const [key, record] of this.records) {
      if (record.expiresAt + 2 * MAX_HOST_CLOCK_SKEW_MS <= wallNow) {
        this.records.delete(key);
      }
    }
  }

  /**
   * Whether what was known of the key may be forgotten already, so that a claim
   * taken here could be the second one. The bound is the same for all claims:
   * how long a former record was held for is not known any more.
   */
  protected isPastLifetime(claim: Claim, { wallNow }: ClaimContext): boolean {
    return wallNow >= claim.issuedAt + this.#lifetimeMs;
  }

  /**
   * Whether a home before this one may have granted the key. Without this a
   * former owner, paused before its write, and the owner granted here would both
   * dispatch it.
   */
  protected isOlderThanTenure(
    claim: Claim,
    { tenureStartedAt }: ClaimContext,
  ): boolean {
    return claim.issuedAt <= tenureStartedAt + this.#tenureMarginMs;
  }

  #claimUnheard(claim: Claim, context: ClaimContext): ClaimReply {
    if (claim.issuedAt > context.wallNow + MAX_CALLER_CLOCK_SKEW_MS) {
      return { kind: "not-run", reason: "issued-in-future" };
    }
    if (this.isPastLifetime(claim, context)) {
      return { kind: "unknown", reason: "expired" };
    }
    const isOlder = this.isOlderThanTenure(claim, context);
    if (this.records.size >= this.#maximum) {
      return isOlder
        ? { kind: "unknown", reason: "older-than-tenure" }
        : { kind: "not-run", reason: "full" };
    }
    const record = createRecord(claim, this.#lifetimeMs);
    this.records.set(recordKey(claim), record);
    if (!isOlder) return grant(record, claim);
    record.state = "unknown";
    record.owner = undefined;
    // A former home may have granted it, so a grant here is not the first one.
    record.attempt = 1;
    return { kind: "unknown", reason: "older-than-tenure" };
  }

  #claimHeld(
    claim: Claim,
    { record, context }: { record: KeyRecord; context: ClaimContext },
  ): ClaimReply {
    if (record.state === "released") {
      return this.#claimReleased(claim, { record, context });
    }
    const { owner, dispatch } = record;
    if (record.claimId === claim.claimId) return repeatAnswer(record);
    const isOwnerGone = owner === undefined ||
      context.isTerminated(owner.host, owner.incarnation);
    if (!isOwnerGone && record.state !== "unknown") {
      return { kind: "owned-by", owner, state: record.state, dispatch };
    }
    if (dispatch !== undefined) return { kind: "resume-at", dispatch };
    return this.#claimLost(claim, record);
  }

  #claimReleased(
    claim: Claim,
    { record, context }: { record: KeyRecord; context: ClaimContext },
  ): ClaimReply {
    const isRepeat = record.claimId === claim.claimId;
    // Sent before its caller was told "not run", however late it was read.
    const sentAt = context.wallNow - (claim.ageMs ?? 0);
    const isOpen = sentAt >= record.releasedAt + this.#releaseGraceMs;
    if (isOpen && !isRepeat) return grant(record, claim);
    return record.attempt > 0
      ? { kind: "unknown", reason: "owner-lost" }
      : { kind: "not-run", reason: "released" };
  }

  /** Nobody can tell whether the owner dispatched; only an idempotent request may run anew. */
  #claimLost(claim: Claim, record: KeyRecord): ClaimReply {
    const reason = record.owner === undefined
      ? "older-than-tenure"
      : "owner-lost";
    const isAnew = claim.isIdempotent && record.state === "unknown";
    record.state = "unknown";
    return isAnew ? grant(record, claim) : { kind: "unknown", reason };
  }

  #find(update: ClaimReference): KeyRecord | undefined {
    const record = this.records.get(recordKey(update));
    return record?.claimId === update.claimId ? record : undefined;
  }
}

function recordKey(
  { account, key }: { account: ClientAccountId; key: IdempotencyKey },
): string {
  return `${account}\0${key}`;
}

/** A doubled claim gets the answer that the first one got. */
function repeatAnswer({ owner, attempt }: KeyRecord): ClaimReply {
  return owner === undefined
    ? { kind: "unknown", reason: "older-than-tenure" }
    : { kind: "granted", attempt };
}

function createRecord(claim: Claim, leastMs: Milliseconds): KeyRecord {
  const lifetimeMs = Math.max(claim.lifetimeMs, leastMs);
  return {
    bodyDigest: claim.bodyDigest,
    expiresAt: claim.issuedAt + lifetimeMs,
    claimId: claim.claimId,
    owner: claim.claimant,
    attempt: 0,
    state: "waiting",
    dispatch: undefined,
    lastSequence: 0,
    releasedAt: 0,
  };
}

function grant(record: KeyRecord, claim: Claim): ClaimReply {
  record.claimId = claim.claimId;
  record.owner = claim.claimant;
  record.lastSequence = 0;
  record.attempt++;
  record.state = "waiting";
  return { kind: "granted", attempt: record.attempt };
}
