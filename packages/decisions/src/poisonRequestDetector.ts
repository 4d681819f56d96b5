import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";

/** What is held against one request content. */
export interface PoisonRecord {
  readonly fingerprint: Digest;
  readonly kind: "suspect" | "convicted" | "cleared";
  /** How long it holds on from now; clocks of keepers differ, spans do not. */
  readonly remainingMs: Milliseconds;
}

/** Whether a request may run, and how. */
export type PoisonStatus =
  | { readonly kind: "clean" }
  /** Not together with another suspect. */
  | { readonly kind: "suspect" }
  | { readonly kind: "convicted"; readonly retryAfter: Milliseconds };

/** Options of {@link PoisonRequestDetector}. */
export interface PoisonRequestDetectorOptions {
  readonly maximumRecords?: number;
  /** Whether losses of several upstreams at once count as an outage. */
  readonly shouldDetectOutages?: boolean;
}

const DEFAULT_MAXIMUM_SUSPICIONS = 4_096;
/** A caller that resends does so within minutes. */
const SUSPECT_MS = 120_000;
/** Long enough that a persistent caller costs a few upstreams a day. */
const CONVICTED_MS = 3_600_000;
/** Tokens that arrive between the fatal point and the loss, on a fast engine. */
const PROGRESS_SLACK_TOKENS = 32;
/** Two losses this close with no request in common have another cause. */
const OUTAGE_WINDOW_MS = 1_000;

interface Record {
  kind: PoisonRecord["kind"];
  expiresAt: Milliseconds;
  /** Losses that this content was present at. */
  losses: Loss[];
  /** Output tokens that had arrived when an upstream was lost with it, at most. */
  furthest?: number;
}

interface Loss {
  readonly upstream: UpstreamId;
  readonly at: Milliseconds;
  readonly fingerprints: readonly Digest[];
  isOutage: boolean;
}

/**
 * Answers the load pattern of one request that kills each upstream that runs it
 * and is sent again. Whatever was in flight at a lost upstream is suspect; at
 * most one suspect runs at an upstream at a time; a second loss with it
 * convicts it, explains both losses and clears the others; a whole answer clears
 * it. Without it, one caller's retries take the whole pool down.
 *
 * Losses of several upstreams within a second that share no request are taken
 * for an outage and make nobody suspect: the neighbour test of the paper "Sinks
 * (Better Compute)", which tells "this event" from "this destination" by whether
 * the neighbour fails too. docs/MEASUREMENTS.md has the measurement behind it.
 *
 * Grounds: memory is bounded by count and by time; the oldest entry goes first.
 */
export class PoisonRequestDetector {
  readonly #maximumSuspicions: number;
  readonly #shouldTestNeighbours: boolean;
  readonly #records = new Map<Digest, Record>();
  readonly #changed = new Set<Digest>();
  #recentLosses: Loss[] = [];

  constructor(
    {
      maximumRecords: maximumSuspicions = DEFAULT_MAXIMUM_SUSPICIONS,
      shouldDetectOutages: shouldTestNeighbours = true,
    }: PoisonRequestDetectorOptions = {},
  ) {
    this.#maximumSuspicions = maximumSuspicions;
    this.#shouldTestNeighbours = shouldTestNeighbours;
  }

  /** How a request with this content may run. */
  statusOf(fingerprint: Digest, now: Milliseconds): PoisonStatus {
    const record = this.#record(fingerprint, now);
    if (record === undefined || record.kind === "cleared") {
      return { kind: "clean" };
    }
    if (record.kind === "suspect") return { kind: "suspect" };
    return { kind: "convicted", retryAfter: record.expiresAt - now };
  }

  /** An upstream was lost with these requests in flight. */
  recordUpstreamLoss(
    upstream: UpstreamId,
    fingerprints: readonly Digest[],
    now: Milliseconds,
  ): void {
    const loss = { upstream, at: now, fingerprints, isOutage: false };
    if (this.#shouldTestNeighbours && this.#isOutage(loss)) return;
    this.#recentLosses.push(loss);
    const culprits = fingerprints.filter((fingerprint) =>
      this.#record(fingerprint, now)?.kind === "suspect"
    );
    // Two suspects at one lost upstream leave open which of them it was.
    if (culprits.length === 1) return this.#convict(culprits[0]!, loss, now);
    for (const fingerprint of fingerprints) this.#suspect(fingerprint, loss);
    this.#forgetOldest();
  }

  /**
   * How far a request had come when its upstream was lost. A content that kills
   * does so at about the same point; one that got further than at its first loss
   * met two unlucky upstreams and is not convicted for them.
   */
  recordLossProgress(
    fingerprint: Digest,
    outputTokens: number,
    now: Milliseconds,
  ): void {
    const record = this.#record(fingerprint, now);
    if (record === undefined) return;
    const former = record.furthest;
    record.furthest = Math.max(former ?? 0, outputTokens);
    if (record.kind !== "convicted" || former === undefined) return;
    if (outputTokens <= former + PROGRESS_SLACK_TOKENS) return;
    this.#set(fingerprint, "suspect", now + SUSPECT_MS);
  }

  /** A request with this content was answered whole. */
  recordCompletion(fingerprint: Digest, now: Milliseconds): void {
    if (this.#record(fingerprint, now) === undefined) return;
    this.#set(fingerprint, "cleared", now + SUSPECT_MS);
  }

  /** Everything held now, as plain data for another keeper. */
  exportRecords(now: Milliseconds): PoisonRecord[] {
    return [...this.#records.keys()].flatMap((fingerprint) =>
      this.#suspicion(fingerprint, now)
    );
  }

  /** What changed since the last call, for the peers. */
  drainChangedRecords(now: Milliseconds): PoisonRecord[] {
    const changed = [...this.#changed];
    this.#changed.clear();
    return changed.flatMap((fingerprint) => this.#suspicion(fingerprint, now));
  }

  /** Takes in what other keepers hold; the graver of two views stands. */
  importRecords(suspicions: readonly PoisonRecord[], now: Milliseconds): void {
    for (const { fingerprint, kind, remainingMs } of suspicions) {
      const record = this.#record(fingerprint, now);
      if (record?.kind === "convicted") continue;
      if (record?.kind === "cleared" && kind === "suspect") continue;
      this.#records.delete(fingerprint);
      this.#records.set(fingerprint, {
        ...(record ?? { losses: [] }),
        kind,
        expiresAt: now + remainingMs,
      });
    }
    this.#forgetOldest();
  }

  #isOutage(loss: Loss): boolean {
    this.#recentLosses = this.#recentLosses.filter(({ at }) =>
      loss.at - at < OUTAGE_WINDOW_MS
    );
    const present = new Set(loss.fingerprints);
    const neighbours = this.#recentLosses.filter((other) =>
      other.upstream !== loss.upstream &&
      !other.fingerprints.some((fingerprint) => present.has(fingerprint))
    );
    if (neighbours.length === 0) return false;
    for (const neighbour of neighbours) this.#absolve(neighbour, loss.at);
    this.#recentLosses.push({ ...loss, isOutage: true });
    return true;
  }

  #absolve(loss: Loss, now: Milliseconds): void {
    if (loss.isOutage) return;
    loss.isOutage = true;
    for (const fingerprint of loss.fingerprints) {
      const record = this.#record(fingerprint, now);
      if (record === undefined || !record.losses.includes(loss)) continue;
      record.losses = record.losses.filter((other) => other !== loss);
      // With no loss left, nothing is held against it.
      const kind = record.losses.length > 0 ? "suspect" : "cleared";
      this.#set(fingerprint, kind, record.expiresAt);
    }
  }

  #convict(culprit: Digest, loss: Loss, now: Milliseconds): void {
    const record = this.#records.get(culprit)!;
    const explained = [...record.losses, loss];
    record.losses = explained;
    this.#set(culprit, "convicted", now + CONVICTED_MS);
    for (const { fingerprints } of explained) {
      for (const fingerprint of fingerprints) {
        if (fingerprint === culprit) continue;
        const other = this.#record(fingerprint, now);
        if (other?.kind !== "suspect") continue;
        if (!other.losses.every((held) => explained.includes(held))) continue;
        this.#set(fingerprint, "cleared", now + SUSPECT_MS);
      }
    }
  }

  #suspect(fingerprint: Digest, loss: Loss): void {
    const losses = [...this.#records.get(fingerprint)?.losses ?? [], loss];
    this.#set(fingerprint, "suspect", loss.at + SUSPECT_MS);
    this.#records.get(fingerprint)!.losses = losses;
  }

  #set(
    fingerprint: Digest,
    kind: PoisonRecord["kind"],
    expiresAt: Milliseconds,
  ): void {
    const former = this.#records.get(fingerprint) ?? { losses: [] };
    this.#records.delete(fingerprint);
    this.#records.set(fingerprint, { ...former, kind, expiresAt });
    this.#changed.add(fingerprint);
  }

  #record(fingerprint: Digest, now: Milliseconds): Record | undefined {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.expiresAt > now) return record;
    this.#records.delete(fingerprint);
    return undefined;
  }

  #suspicion(fingerprint: Digest, now: Milliseconds): PoisonRecord[] {
    const record = this.#record(fingerprint, now);
    if (record === undefined) return [];
    const remainingMs = record.expiresAt - now;
    return [{ fingerprint, kind: record.kind, remainingMs }];
  }

  #forgetOldest(): void {
    for (const fingerprint of this.#records.keys()) {
      if (this.#records.size <= this.#maximumSuspicions) return;
      this.#records.delete(fingerprint);
      this.#changed.delete(fingerprint);
    }
  }
}
