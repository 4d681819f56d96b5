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

/**
 * Maximum number of keys that a home, the host that decides about them, holds;
 * further ones are refused.
 */
export const MAX_HELD_KEYS = 200_000;
/**
 * Minimum time from the start of a tenure, the period for which a host is the
 * home of a key, to the creation of the key; covers clock skew, so that no
 * former home can have granted the key.
 */
export const TENURE_MARGIN_MS = MAX_CALLER_CLOCK_SKEW_MS +
  2 * MAX_HOST_CLOCK_SKEW_MS;

/**
 * How long a released key is not granted again. It exceeds the time in which
 * claims sent before the release time out, so that a "not run" reported to the
 * caller stays true.
 */
export const RELEASE_GRACE_MS: Milliseconds = 4_000;

/** State of one key at its home. */
export interface KeyRecord {
  readonly bodyDigest: string;
  readonly expiresAt: EpochMilliseconds;
  claimId: string;
  owner: Claimant | undefined;
  attempt: number;
  state: "waiting" | "dispatched" | "finished" | "released" | "unknown";
  dispatch: Dispatch | undefined;
  /** Sequence number of the owner's latest update. */
  lastSequence: number;
  /** When the last owner released the key. */
  releasedAt: EpochMilliseconds;
}

/** State of the home at the time of a claim. */
export interface ClaimContext {
  readonly wallNow: EpochMilliseconds;
  /** Start of the home's tenure for the key, on its wall clock. */
  readonly tenureStartedAt: EpochMilliseconds;
  readonly isTerminated: (host: HostId, incarnation: Incarnation) => boolean;
}

/** Fields of a key update that identify its claim and order the updates. */
export interface ClaimReference {
  readonly account: ClientAccountId;
  readonly key: IdempotencyKey;
  readonly claimId: string;
  readonly sequence: number;
}

/** Limits and initial records of a {@link KeyTable}. */
export interface KeyTableOptions {
  /** Maximum number of keys held. */
  readonly maxKeys?: number;
  /**
   * Minimum time that a key is held, and maximum age of a key that is new to
   * the table.
   */
  readonly lifetimeMs?: Milliseconds;
  readonly tenureMarginMs?: Milliseconds;
  readonly releaseGraceMs?: Milliseconds;
  readonly records?: Map<string, KeyRecord>;
}

/**
 * Decides at a key's home which claim owns the key. At most one owner may
 * dispatch, as long as only this home is active.
 */
export class KeyTable {
  readonly records: Map<string, KeyRecord>;
  readonly #maxKeys: number;
  readonly #lifetimeMs: Milliseconds;
  readonly #tenureMarginMs: Milliseconds;
  readonly #releaseGraceMs: Milliseconds;

  constructor(
    {
      maxKeys = MAX_HELD_KEYS,
      lifetimeMs = KEY_LIFETIME_MS,
      tenureMarginMs = TENURE_MARGIN_MS,
      releaseGraceMs = RELEASE_GRACE_MS,
      records = new Map(),
    }: KeyTableOptions = {},
  ) {
    this.#maxKeys = maxKeys;
    this.#lifetimeMs = lifetimeMs;
    this.#tenureMarginMs = tenureMarginMs;
    this.#releaseGraceMs = releaseGraceMs;
    this.records = records;
  }

  /** Decides a claim. The home must be active. */
  claim(claim: Claim, context: ClaimContext): ClaimReply {
    const record = this.records.get(recordKeyOf(claim));
    if (record === undefined) return this.#claimUnknownKey(claim, context);
    if (record.bodyDigest !== claim.bodyDigest) return { kind: "mismatch" };
    return this.#claimKnownKey(claim, { record, context });
  }

  /** Records an update's sequence; false for an outdated update. */
  advanceSequence(update: ClaimReference): boolean {
    const record = this.#find(update);
    if (record === undefined || update.sequence <= record.lastSequence) {
      return false;
    }
    record.lastSequence = update.sequence;
    return true;
  }

  /**
   * Records that the upstream refused the connection, so the owner may try
   * another one.
   */
  markConnectionRefused(update: ClaimReference): void {
    const record = this.#find(update);
    if (record?.state !== "dispatched") return;
    record.state = "waiting";
    record.dispatch = undefined;
  }

  /** Records that the owner is about to write to an upstream. */
  markDispatched(update: ClaimReference, dispatch: Dispatch): void {
    const record = this.#find(update);
    if (record === undefined || record.state === "finished") return;
    record.state = "dispatched";
    record.dispatch = dispatch;
  }

  /** Records that the owner has received the complete response. */
  markFinished(update: ClaimReference, dispatch: Dispatch): void {
    const record = this.#find(update);
    if (record === undefined) return;
    record.state = "finished";
    record.dispatch = dispatch;
  }

  /**
   * Releases a key whose owner has not written a byte and will not. A key that
   * was reported as unknown stays unknown.
   */
  release(update: ClaimReference, wallNow: EpochMilliseconds): void {
    const record = this.#find(update);
    if (record?.state !== "waiting") return;
    record.state = "released";
    record.owner = undefined;
    // The released grant does not count as an attempt.
    record.attempt--;
    record.releasedAt = wallNow;
  }

  /**
   * Tells whether the key was released under this claim and not granted since.
   */
  isReleasedBy(update: ClaimReference): boolean {
    return this.#find(update)?.state === "released";
  }

  /** Deletes keys that no host accepts any more. */
  expire(wallNow: EpochMilliseconds): void {
    for (const [key, record] of this.records) {
      if (record.expiresAt + 2 * MAX_HOST_CLOCK_SKEW_MS <= wallNow) {
        this.records.delete(key);
      }
    }
  }

  /**
   * Tells whether a former record of the key may have been deleted, so that a
   * new grant could be the second one.
   */
  protected isPastLifetime(claim: Claim, { wallNow }: ClaimContext): boolean {
    return wallNow >= claim.issuedAt + this.#lifetimeMs;
  }

  /**
   * Tells whether a former home may have granted the key. Granting it again
   * would let two owners dispatch it.
   */
  protected isOlderThanTenure(
    claim: Claim,
    { tenureStartedAt }: ClaimContext,
  ): boolean {
    return claim.issuedAt <= tenureStartedAt + this.#tenureMarginMs;
  }

  #claimUnknownKey(claim: Claim, context: ClaimContext): ClaimReply {
    if (claim.issuedAt > context.wallNow + MAX_CALLER_CLOCK_SKEW_MS) {
      return { kind: "not-run", reason: "issued-in-future" };
    }
    if (this.isPastLifetime(claim, context)) {
      return { kind: "unknown", reason: "expired" };
    }
    const isOlder = this.isOlderThanTenure(claim, context);
    if (this.records.size >= this.#maxKeys) {
      return isOlder
        ? { kind: "unknown", reason: "older-than-tenure" }
        : { kind: "not-run", reason: "full" };
    }
    const record = createRecord(claim, this.#lifetimeMs);
    this.records.set(recordKeyOf(claim), record);
    if (!isOlder) return grant(record, claim);
    record.state = "unknown";
    record.owner = undefined;
    // Counts a possible grant by a former home.
    record.attempt = 1;
    return { kind: "unknown", reason: "older-than-tenure" };
  }

  #claimKnownKey(
    claim: Claim,
    { record, context }: { record: KeyRecord; context: ClaimContext },
  ): ClaimReply {
    if (record.state === "released") {
      return this.#claimReleasedKey(claim, { record, context });
    }
    const { owner, dispatch } = record;
    if (record.claimId === claim.claimId) return replyToDuplicate(record);
    const hasOwnerTerminated = owner === undefined ||
      context.isTerminated(owner.host, owner.incarnation);
    if (!hasOwnerTerminated && record.state !== "unknown") {
      return { kind: "owned-by", owner, state: record.state, dispatch };
    }
    if (dispatch !== undefined) return { kind: "resume-at", dispatch };
    return this.#claimOrphanedKey(claim, record);
  }

  #claimReleasedKey(
    claim: Claim,
    { record, context }: { record: KeyRecord; context: ClaimContext },
  ): ClaimReply {
    const isDuplicate = record.claimId === claim.claimId;
    // A claim sent before the end of the grace period is refused, however late
    // it arrives.
    const sentAt = context.wallNow - (claim.ageMs ?? 0);
    const isPastGrace = sentAt >= record.releasedAt + this.#releaseGraceMs;
    if (isPastGrace && !isDuplicate) return grant(record, claim);
    return record.attempt > 0
      ? { kind: "unknown", reason: "owner-lost" }
      : { kind: "not-run", reason: "released" };
  }

  /**
   * Decides a claim of a key whose owner is gone and may have dispatched the
   * request. Only an idempotent request may run again, and only after an
   * earlier claim was answered "unknown".
   */
  #claimOrphanedKey(claim: Claim, record: KeyRecord): ClaimReply {
    const reason = record.owner === undefined
      ? "older-than-tenure"
      : "owner-lost";
    const isRetryAllowed = claim.isIdempotent && record.state === "unknown";
    record.state = "unknown";
    return isRetryAllowed ? grant(record, claim) : { kind: "unknown", reason };
  }

  #find(update: ClaimReference): KeyRecord | undefined {
    const record = this.records.get(recordKeyOf(update));
    return record?.claimId === update.claimId ? record : undefined;
  }
}

function recordKeyOf(
  { account, key }: { account: ClientAccountId; key: IdempotencyKey },
): string {
  return `${account}\0${key}`;
}

/** Returns the reply to a duplicate of the current claim. */
function replyToDuplicate({ owner, attempt }: KeyRecord): ClaimReply {
  return owner === undefined
    ? { kind: "unknown", reason: "older-than-tenure" }
    : { kind: "granted", attempt };
}

function createRecord(claim: Claim, minLifetimeMs: Milliseconds): KeyRecord {
  const lifetimeMs = Math.max(claim.lifetimeMs, minLifetimeMs);
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
