import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";

/** Number of crashes after which a request is not sent to another upstream. */
const QUARANTINE_CRASHES = 3;
/** The same at a host that cannot hear of the crashes that others see. */
const ALONE_QUARANTINE_CRASHES = 1;
/** The same while upstreams crash without the request as well. */
const DOUBTFUL_QUARANTINE_CRASHES = 5;
/** Share of all crashes that a request must have had a part in. */
const MINIMUM_SHARE = 2 / 3;
/** Time before a request's first crash in which others count for that share. */
const SHARE_WINDOW_MS: Milliseconds = 10_000;
/** First quarantine; each further crash doubles it. */
const FIRST_QUARANTINE_MS: Milliseconds = 60_000;
/** Longest quarantine, and how long a crash is remembered. */
const RETENTION_MS: Milliseconds = 3_600_000;
/**
 * Crashes this close to their end are not learned from peers, whose clocks
 * differ, so that hosts do not pass them on for ever.
 */
const RETENTION_MARGIN_MS: Milliseconds = 10_000;
const MAXIMUM_FINGERPRINTS = 2_000;
const MAXIMUM_UPSTREAMS = 2_000;

/** A crash of an upstream while it ran a request with this fingerprint. */
export interface Crash {
  readonly fingerprint: Digest;
  readonly upstream: UpstreamId;
  readonly at: Milliseconds;
}

/** A complete response to a request that had been running during crashes. */
export interface Completion {
  readonly fingerprint: Digest;
  readonly at: Milliseconds;
}

/** Options of {@link PoisonRequestDetector.quarantineLeft}. */
export interface QuarantineOptions {
  /** Whether this host hears none of its peers. */
  readonly isAlone?: boolean;
}

interface RequestRecord {
  /** Crashes since the last complete response. */
  readonly crashes: Map<UpstreamId, Milliseconds>;
  lastCrashAt: Milliseconds;
  completedAt: Milliseconds;
}

/**
 * Detects poison requests, which crash every upstream that runs them.
 *
 * Callers repeat such a request at any host and would take down one upstream
 * after another. Hosts share the crashes that they have confirmed. Other requests
 * that ran at the same upstreams are told apart by their next complete response,
 * by crashing at no upstream but those of another request, and by the crashes
 * that they had no part in.
 */
export class PoisonRequestDetector {
  readonly #records = new Map<Digest, RequestRecord>();
  /** When each upstream crashed, under any request. */
  readonly #crashedAt = new Map<UpstreamId, Milliseconds>();

  /**
   * Records a crash that this host or a peer has confirmed; returns whether it
   * was new.
   */
  recordCrash(crash: Crash, now: Milliseconds): boolean {
    const isEnding = now - crash.at > RETENTION_MS - RETENTION_MARGIN_MS;
    return !isEnding && this.#add(crash);
  }

  /**
   * Records a complete response, which shows that a request does not crash its
   * upstream; returns whether crashes had been attributed to the request.
   */
  recordCompletion({ fingerprint, at }: Completion): boolean {
    const record = this.#records.get(fingerprint);
    if (record === undefined || at <= record.completedAt) return false;
    record.completedAt = at;
    let isCleared = false;
    for (const [upstream, crashedAt] of record.crashes) {
      if (crashedAt <= at) isCleared = record.crashes.delete(upstream);
    }
    return isCleared;
  }

  /** Returns the last complete response that cleared a request of crashes. */
  completionOf(fingerprint: Digest): Completion | undefined {
    const at = this.#records.get(fingerprint)?.completedAt ?? -Infinity;
    return Number.isFinite(at) ? { fingerprint, at } : undefined;
  }

  /** Whether an upstream has crashed since the request last completed. */
  isSuspect(fingerprint: Digest, now: Milliseconds): boolean {
    return this.#crashCount(fingerprint, now) > 0;
  }

  /**
   * Whether a request has crashed so many upstreams that it must not run again.
   */
  isQuarantined(fingerprint: Digest, now: Milliseconds): boolean {
    return this.quarantineLeft(fingerprint, now) > 0;
  }

  /** Returns for how long a request must not run. */
  quarantineLeft(
    fingerprint: Digest,
    now: Milliseconds,
    { isAlone = false }: QuarantineOptions = {},
  ): Milliseconds {
    const count = this.#crashCount(fingerprint, now);
    const minimum = isAlone ? ALONE_QUARANTINE_CRASHES : QUARANTINE_CRASHES;
    if (count < minimum) return 0;
    const record = this.#records.get(fingerprint)!;
    if (this.#isExplained(record)) return 0;
    if (!isAlone && this.#isDoubtful(record)) return 0;
    const span = FIRST_QUARANTINE_MS * 2 ** (count - minimum);
    const until = record.lastCrashAt + Math.min(span, RETENTION_MS);
    return Math.max(0, until - now);
  }

  /** Returns the known crashes, those of requests in quarantine first. */
  crashes(now: Milliseconds): Crash[] {
    const quarantined: Crash[] = [];
    const others: Crash[] = [];
    for (const [fingerprint, { crashes }] of this.#records) {
      if (this.#crashCount(fingerprint, now) === 0) continue;
      const isQuarantined = this.isQuarantined(fingerprint, now);
      const list = isQuarantined ? quarantined : others;
      for (const [upstream, at] of crashes) {
        list.push({ fingerprint, upstream, at });
      }
    }
    return [...quarantined, ...others];
  }

  #add({ fingerprint, upstream, at }: Crash): boolean {
    const record = this.#records.get(fingerprint) ?? {
      crashes: new Map(),
      lastCrashAt: -Infinity,
      completedAt: -Infinity,
    };
    if (at <= record.completedAt || record.crashes.has(upstream)) return false;
    record.crashes.set(upstream, at);
    this.#crashedAt.set(upstream, at);
    if (this.#crashedAt.size > MAXIMUM_UPSTREAMS) {
      this.#crashedAt.delete([...this.#crashedAt.keys()][0]!);
    }
    record.lastCrashAt = Math.max(record.lastCrashAt, at);
    this.#records.delete(fingerprint);
    this.#records.set(fingerprint, record);
    if (this.#records.size > MAXIMUM_FINGERPRINTS) this.#dropOldest();
    return true;
  }

  /** Keeps requests in quarantine, which are few, for longer than others. */
  #dropOldest(): void {
    const isKept = ({ crashes }: RequestRecord): boolean =>
      crashes.size >= QUARANTINE_CRASHES;
    const oldest = [...this.#records].find(([, record]) => !isKept(record)) ??
      [...this.#records][0]!;
    this.#records.delete(oldest[0]);
  }

  #crashCount(fingerprint: Digest, now: Milliseconds): number {
    const record = this.#records.get(fingerprint);
    if (record === undefined) return 0;
    if (now - record.lastCrashAt > RETENTION_MS) record.crashes.clear();
    return record.crashes.size;
  }

  /**
   * Whether so many upstreams have crashed without the request that its crashes
   * may be a coincidence.
   */
  #isDoubtful({ crashes, lastCrashAt }: RequestRecord): boolean {
    if (crashes.size >= DOUBTFUL_QUARANTINE_CRASHES) return false;
    const since = Math.min(...crashes.values()) - SHARE_WINDOW_MS;
    let total = 0;
    for (const at of this.#crashedAt.values()) {
      if (at >= since && at <= lastCrashAt) total++;
    }
    return crashes.size < MINIMUM_SHARE * total;
  }

  /**
   * Whether another request was running during all crashes of this one and
   * during more, so that this one was only there at the same time.
   */
  #isExplained({ crashes }: RequestRecord): boolean {
    for (const other of this.#records.values()) {
      if (other.crashes.size <= crashes.size) continue;
      const hasAll = [...crashes.keys()].every((upstream) =>
        other.crashes.has(upstream)
      );
      if (hasAll) return true;
    }
    return false;
  }
}
