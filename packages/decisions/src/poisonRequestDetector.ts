import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";

/** Holds what is known of a request content that may crash upstreams. */
export interface PoisonRecord {
  readonly fingerprint: Digest;
  readonly kind: "suspect" | "convicted" | "cleared";
  /** Time until the record expires; relative, since clocks of hosts differ. */
  readonly remainingMs: Milliseconds;
}

/** Tells whether a request may run, and under which restriction. */
export type PoisonStatus =
  | { readonly kind: "clean" }
  /** May not share an upstream with another suspect. */
  | { readonly kind: "suspect" }
  | { readonly kind: "convicted"; readonly retryAfter: Milliseconds };

/** Options of a {@link PoisonRequestDetector}. */
export interface PoisonRequestDetectorOptions {
  readonly maximumRecords?: number;
  /** Whether simultaneous losses of several upstreams count as an outage. */
  readonly shouldDetectOutages?: boolean;
}

const DEFAULT_MAXIMUM_RECORDS = 4_096;
const SUSPECT_TTL_MS = 120_000;
const QUARANTINE_TTL_MS = 3_600_000;
/** Tokens that may still arrive between the crash and the detected loss. */
const PROGRESS_TOLERANCE_TOKENS = 32;
/** Losses within this time that have no request in common are an outage. */
const OUTAGE_WINDOW_MS = 1_000;

interface RequestRecord {
  kind: PoisonRecord["kind"];
  expiresAt: Milliseconds;
  /** Losses during which this content was in flight. */
  losses: UpstreamLoss[];
  /** Most output tokens that had arrived when an upstream was lost. */
  maximumTokensAtLoss?: number;
}

interface UpstreamLoss {
  readonly upstream: UpstreamId;
  readonly at: Milliseconds;
  readonly fingerprints: readonly Digest[];
  isOutage: boolean;
}

/**
 * Detects poison requests, which crash every upstream that runs them, so that
 * retries of one caller cannot take the whole pool down. All requests in flight
 * at a lost upstream become suspects, and at most one suspect runs at an
 * upstream at a time. A second loss quarantines the suspect (`convicted`) and
 * clears requests that were only involved in the same losses. A complete
 * response clears a suspect.
 *
 * Losses of several upstreams within a second that share no request are treated
 * as an outage and create no suspects.
 */
export class PoisonRequestDetector {
  readonly #maximumRecords: number;
  readonly #shouldDetectOutages: boolean;
  readonly #records = new Map<Digest, RequestRecord>();
  readonly #changed = new Set<Digest>();
  #recentLosses: UpstreamLoss[] = [];

  constructor(
    {
      maximumRecords = DEFAULT_MAXIMUM_RECORDS,
      shouldDetectOutages = true,
    }: PoisonRequestDetectorOptions = {},
  ) {
    this.#maximumRecords = maximumRecords;
    this.#shouldDetectOutages = shouldDetectOutages;
  }

  /** Returns the status of a request content. */
  statusOf(fingerprint: Digest, now: Milliseconds): PoisonStatus {
    const record = this.#currentRecord(fingerprint, now);
    if (record === undefined || record.kind === "cleared") {
      return { kind: "clean" };
    }
    if (record.kind === "suspect") return { kind: "suspect" };
    return { kind: "convicted", retryAfter: record.expiresAt - now };
  }

  /** Records the loss of an upstream with these requests in flight. */
  recordUpstreamLoss(
    upstream: UpstreamId,
    fingerprints: readonly Digest[],
    now: Milliseconds,
  ): void {
    const loss = { upstream, at: now, fingerprints, isOutage: false };
    if (this.#shouldDetectOutages && this.#isOutage(loss)) return;
    this.#recentLosses.push(loss);
    const suspects = fingerprints.filter((fingerprint) =>
      this.#currentRecord(fingerprint, now)?.kind === "suspect"
    );
    // With several suspects at the lost upstream, the cause is ambiguous.
    if (suspects.length === 1) return this.#quarantine(suspects[0]!, loss, now);
    for (const fingerprint of fingerprints) this.#suspect(fingerprint, loss);
    this.#evictOldest();
  }

  /**
   * Records how many tokens a request had received when its upstream was lost.
   * A poison request fails at about the same point each time; one that
   * progressed further than at its first loss is not quarantined.
   */
  recordLossProgress(
    fingerprint: Digest,
    outputTokens: number,
    now: Milliseconds,
  ): void {
    const record = this.#currentRecord(fingerprint, now);
    if (record === undefined) return;
    const previous = record.maximumTokensAtLoss;
    record.maximumTokensAtLoss = Math.max(previous ?? 0, outputTokens);
    if (record.kind !== "convicted" || previous === undefined) return;
    if (outputTokens <= previous + PROGRESS_TOLERANCE_TOKENS) return;
    this.#set(fingerprint, "suspect", now + SUSPECT_TTL_MS);
  }

  /** Records that a request with this content completed. */
  recordCompletion(fingerprint: Digest, now: Milliseconds): void {
    if (this.#currentRecord(fingerprint, now) === undefined) return;
    this.#set(fingerprint, "cleared", now + SUSPECT_TTL_MS);
  }

  /** Returns all current records as plain data for another scheduler. */
  exportRecords(now: Milliseconds): PoisonRecord[] {
    return [...this.#records.keys()].flatMap((fingerprint) =>
      this.#toPoisonRecords(fingerprint, now)
    );
  }

  /** Returns the records that changed since the last call. */
  drainChangedRecords(now: Milliseconds): PoisonRecord[] {
    const changed = [...this.#changed];
    this.#changed.clear();
    return changed.flatMap((fingerprint) =>
      this.#toPoisonRecords(fingerprint, now)
    );
  }

  /** Merges records of other schedulers; the more severe kind wins. */
  importRecords(records: readonly PoisonRecord[], now: Milliseconds): void {
    for (const { fingerprint, kind, remainingMs } of records) {
      const record = this.#currentRecord(fingerprint, now);
      if (record?.kind === "convicted") continue;
      if (record?.kind === "cleared" && kind === "suspect") continue;
      this.#records.delete(fingerprint);
      this.#records.set(fingerprint, {
        ...(record ?? { losses: [] }),
        kind,
        expiresAt: now + remainingMs,
      });
    }
    this.#evictOldest();
  }

  #isOutage(loss: UpstreamLoss): boolean {
    this.#recentLosses = this.#recentLosses.filter(({ at }) =>
      loss.at - at < OUTAGE_WINDOW_MS
    );
    const lostFingerprints = new Set(loss.fingerprints);
    const unrelated = this.#recentLosses.filter((other) =>
      other.upstream !== loss.upstream &&
      !other.fingerprints.some((fingerprint) =>
        lostFingerprints.has(fingerprint)
      )
    );
    if (unrelated.length === 0) return false;
    for (const other of unrelated) this.#reclassifyAsOutage(other, loss.at);
    this.#recentLosses.push({ ...loss, isOutage: true });
    return true;
  }

  #reclassifyAsOutage(loss: UpstreamLoss, now: Milliseconds): void {
    if (loss.isOutage) return;
    loss.isOutage = true;
    for (const fingerprint of loss.fingerprints) {
      const record = this.#currentRecord(fingerprint, now);
      if (record === undefined || !record.losses.includes(loss)) continue;
      record.losses = record.losses.filter((other) => other !== loss);
      const kind = record.losses.length > 0 ? "suspect" : "cleared";
      this.#set(fingerprint, kind, record.expiresAt);
    }
  }

  #quarantine(poison: Digest, loss: UpstreamLoss, now: Milliseconds): void {
    const record = this.#records.get(poison)!;
    const attributed = [...record.losses, loss];
    record.losses = attributed;
    this.#set(poison, "convicted", now + QUARANTINE_TTL_MS);
    for (const { fingerprints } of attributed) {
      for (const fingerprint of fingerprints) {
        if (fingerprint === poison) continue;
        const other = this.#currentRecord(fingerprint, now);
        if (other?.kind !== "suspect") continue;
        if (!other.losses.every((item) => attributed.includes(item))) continue;
        this.#set(fingerprint, "cleared", now + SUSPECT_TTL_MS);
      }
    }
  }

  #suspect(fingerprint: Digest, loss: UpstreamLoss): void {
    const losses = [...this.#records.get(fingerprint)?.losses ?? [], loss];
    this.#set(fingerprint, "suspect", loss.at + SUSPECT_TTL_MS);
    this.#records.get(fingerprint)!.losses = losses;
  }

  #set(
    fingerprint: Digest,
    kind: PoisonRecord["kind"],
    expiresAt: Milliseconds,
  ): void {
    const previous = this.#records.get(fingerprint) ?? { losses: [] };
    this.#records.delete(fingerprint);
    this.#records.set(fingerprint, { ...previous, kind, expiresAt });
    this.#changed.add(fingerprint);
  }

  #currentRecord(
    fingerprint: Digest,
    now: Milliseconds,
  ): RequestRecord | undefined {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.expiresAt > now) return record;
    this.#records.delete(fingerprint);
    return undefined;
  }

  #toPoisonRecords(fingerprint: Digest, now: Milliseconds): PoisonRecord[] {
    const record = this.#currentRecord(fingerprint, now);
    if (record === undefined) return [];
    const remainingMs = record.expiresAt - now;
    return [{ fingerprint, kind: record.kind, remainingMs }];
  }

  #evictOldest(): void {
    for (const fingerprint of this.#records.keys()) {
      if (this.#records.size <= this.#maximumRecords) return;
      this.#records.delete(fingerprint);
      this.#changed.delete(fingerprint);
    }
  }
}
