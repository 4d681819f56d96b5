import type { Digest, Milliseconds } from "@wasabivane/common";
import type { PartCompletion, PartConviction, PartCrash } from "./partCrash.ts";
import type { PartVerdict } from "./partCrashEvidence.ts";

/** First quarantine; each failed trial doubles it. */
const FIRST_QUARANTINE_MS: Milliseconds = 60_000;
const MAXIMUM_QUARANTINE_MS: Milliseconds = 3_600_000;
/** Time in which a trial shows whether its upstream crashes. */
const TRIAL_MS: Milliseconds = 5_000;
/** The same for a request that has only some of the parts. */
const PARTIAL_TRIAL_MS: Milliseconds = 2_000;
const MAXIMUM_CONVICTIONS = 200;

/** What a request has in common with others. */
export interface PartRequest {
  readonly account: Digest;
  readonly parts: readonly Digest[];
}

interface Entry {
  conviction: PartConviction;
  /** End of a trial that is under way here. */
  trialUntil: Milliseconds;
  /** The same for requests with only some of the parts. */
  partialTrialUntil: Milliseconds;
}

/** Options of {@link PartConvictions}. */
export interface PartConvictionsOptions {
  /**
   * Returns how much later than the first host this one may try parts again, so
   * that one of all hosts does at a time.
   */
  readonly trialDelay: (key: string) => Milliseconds;
}

/**
 * Parts of prompts whose requests are refused. After a quarantine one request is
 * let through; the parts are free again if it completes. Requests with only some
 * of the parts are let through one at a time, since one of them may be enough.
 */
export class PartConvictions {
  readonly #options: PartConvictionsOptions;
  readonly #entries = new Map<string, Entry>();

  constructor(options: PartConvictionsOptions) {
    this.#options = options;
  }

  /** Returns all convictions. */
  all(): PartConviction[] {
    return [...this.#entries.values()].map(({ conviction }) => conviction);
  }

  /**
   * Adds a conviction of this host or a peer, and returns it if it was new or
   * holds for more requests than before.
   */
  add(
    conviction: PartVerdict & { readonly failedTrials?: number },
  ): PartConviction | undefined {
    const key = keyOf(conviction.parts);
    const entry = this.#entries.get(key);
    const former = entry?.conviction;
    const merged = mergeConvictions(former, {
      failedTrials: 0,
      ...conviction,
    });
    this.#set(merged, entry);
    if (former === undefined) this.#dropNarrower(merged);
    const isNews = former === undefined ||
      former.account !== merged.account ||
      former.failedTrials < merged.failedTrials;
    return isNews ? merged : undefined;
  }

  /** Extends the quarantine of the parts that a crash concerns. */
  recordCrash({ at, sentAt, ...request }: PartCrash): void {
    for (const [key, entry] of this.#entries) {
      const { conviction } = entry;
      if (!concerns(conviction, request)) continue;
      const isTrial = sentAt >= quarantineEnd(conviction);
      entry.conviction = {
        ...conviction,
        lastCrashAt: Math.max(conviction.lastCrashAt, at),
        failedTrials: conviction.failedTrials + (isTrial ? 1 : 0),
      };
      this.#entries.set(key, entry);
    }
  }

  /** Takes a part out of the convictions that its completion refutes. */
  recordCompletion({ part, at, softwareVersion }: PartCompletion): boolean {
    return this.#remove(
      part,
      ({ lastCrashAt, softwareVersions }) =>
        at > lastCrashAt && softwareVersions.includes(softwareVersion),
    );
  }

  /** Takes a part out of all convictions; returns whether it was in any. */
  release(part: Digest): boolean {
    return this.#remove(part, () => true);
  }

  /** Whether the parts at a crash include those of a conviction. */
  explain(parts: ReadonlySet<Digest>): boolean {
    return this.all().some((conviction) =>
      conviction.parts.every((part) => parts.has(part))
    );
  }

  /** Returns the parts of a request that stand in convictions with others. */
  partsOnTrial(request: PartRequest): Digest[] {
    const partly = this.all().filter((conviction) =>
      !concerns(conviction, request) && concernsPartly(conviction, request)
    );
    return request.parts.filter((part) =>
      partly.some(({ parts }) => parts.includes(part))
    );
  }

  /** Returns for how long a request must not be sent; 0 if it may be. */
  timeLeft(request: PartRequest, now: Milliseconds): Milliseconds {
    let left = 0;
    for (const entry of this.#entries.values()) {
      const start = this.#admissionStart(entry, request, now);
      left = Math.max(left, start - now);
    }
    return left;
  }

  /** Whether a request that was admitted may not be sent any more. */
  isConvicted(request: PartRequest, now: Milliseconds): boolean {
    for (const { conviction } of this.#entries.values()) {
      if (!concerns(conviction, request)) continue;
      if (this.#startOfTrials(conviction, now) > now) return true;
    }
    return false;
  }

  /** Records that a request is let through, as a trial if it is concerned. */
  recordAdmission(request: PartRequest, now: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      if (concerns(entry.conviction, request)) {
        entry.trialUntil = now + TRIAL_MS;
      } else if (concernsPartly(entry.conviction, request)) {
        entry.partialTrialUntil = now + PARTIAL_TRIAL_MS;
      }
    }
  }

  /** Returns when a request may be sent; `-Infinity` if it is not concerned. */
  #admissionStart(
    { conviction, trialUntil, partialTrialUntil }: Entry,
    request: PartRequest,
    now: Milliseconds,
  ): Milliseconds {
    if (concerns(conviction, request)) {
      return Math.max(this.#startOfTrials(conviction, now), trialUntil);
    }
    return concernsPartly(conviction, request) ? partialTrialUntil : -Infinity;
  }

  #startOfTrials(
    conviction: PartConviction,
    now: Milliseconds,
  ): Milliseconds {
    const end = quarantineEnd(conviction);
    if (end > now) return end;
    return end + this.#options.trialDelay(keyOf(conviction.parts));
  }

  #remove(
    part: Digest,
    isRefuted: (conviction: PartConviction) => boolean,
  ): boolean {
    let isChanged = false;
    for (const [key, entry] of [...this.#entries]) {
      const { conviction, conviction: { parts } } = entry;
      if (!parts.includes(part) || !isRefuted(conviction)) continue;
      isChanged = this.#entries.delete(key);
      const left = parts.filter((other) => other !== part);
      if (left.length > 0) this.#set({ ...conviction, parts: left }, entry);
    }
    return isChanged;
  }

  #set(conviction: PartConviction, former: Entry | undefined): void {
    this.#entries.set(keyOf(conviction.parts), {
      conviction,
      trialUntil: former?.trialUntil ?? -Infinity,
      partialTrialUntil: former?.partialTrialUntil ?? -Infinity,
    });
    if (this.#entries.size <= MAXIMUM_CONVICTIONS) return;
    const [oldest] = this.#entries.keys();
    this.#entries.delete(oldest!);
  }

  /** Drops convictions that hold for some of the same requests only. */
  #dropNarrower({ parts, account }: PartConviction): void {
    for (const [key, { conviction }] of [...this.#entries]) {
      if (conviction.parts.length <= parts.length) continue;
      if (account !== undefined && account !== conviction.account) continue;
      const isNarrower = parts.every((part) => conviction.parts.includes(part));
      if (isNarrower) this.#entries.delete(key);
    }
  }
}

function concerns(
  { parts, account }: PartConviction,
  request: PartRequest,
): boolean {
  if (account !== undefined && account !== request.account) return false;
  return parts.every((part) => request.parts.includes(part));
}

/** Whether a request has some of the parts, and may be concerned as well. */
function concernsPartly(
  { parts, account }: PartConviction,
  request: PartRequest,
): boolean {
  if (account !== undefined && account !== request.account) return false;
  return parts.some((part) => request.parts.includes(part));
}

function mergeConvictions(
  former: PartConviction | undefined,
  next: PartConviction,
): PartConviction {
  if (former === undefined) return next;
  const versions = [...former.softwareVersions, ...next.softwareVersions];
  return {
    parts: next.parts,
    account: former.account === next.account ? next.account : undefined,
    lastCrashAt: Math.max(former.lastCrashAt, next.lastCrashAt),
    failedTrials: Math.max(former.failedTrials, next.failedTrials),
    softwareVersions: [...new Set(versions)],
  };
}

function quarantineEnd(
  { lastCrashAt, failedTrials }: PartConviction,
): Milliseconds {
  const span = FIRST_QUARANTINE_MS * 2 ** failedTrials;
  return lastCrashAt + Math.min(span, MAXIMUM_QUARANTINE_MS);
}

function keyOf(parts: readonly Digest[]): string {
  return parts.join(",");
}
