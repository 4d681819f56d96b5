import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import type { PartCrash } from "./partCrash.ts";
import type { SoftwareVersion } from "./types.ts";

/** Crashes of one part that are kept; fewer convict it. */
const MAXIMUM_CRASHES = 40;
/** Time for which an upstream hung under a request that crashed it. */
const HANG_MS: Milliseconds = 1_500;
/** Time between upstreams that hang, and have not been one outage. */
const SEPARATE_MS: Milliseconds = 100;

/** A crash while requests with a part were running at the upstream. */
export interface CrashWithPart {
  readonly at: Milliseconds;
  /** When the last of these requests was sent. */
  sentAt: Milliseconds;
  readonly softwareVersion: SoftwareVersion;
  readonly accounts: Set<Digest>;
  /** Parts that came together with it in one request. */
  readonly companions: Set<Digest>;
}

/** What is known of one part of prompts. */
export interface PartRecord {
  /** Crashes since the last completion. */
  readonly crashes: Map<UpstreamId, CrashWithPart>;
  /** Last completions by version of the upstream. */
  readonly completedAt: Map<SoftwareVersion, Milliseconds>;
  /** When a request with it last completed; `-Infinity` if none is known. */
  soundAt: Milliseconds;
}

/** Adds a crash to a part's record; returns whether it tells something new. */
export function addCrash(
  record: PartRecord,
  { part, crash }: { part: Digest; crash: PartCrash },
): boolean {
  const { upstream, at, sentAt, softwareVersion, account, parts } = crash;
  if (at <= (record.completedAt.get(softwareVersion) ?? -Infinity)) {
    return false;
  }
  const companions = parts.filter((other) => other !== part);
  const known = record.crashes.get(upstream);
  if (known === undefined) {
    record.crashes.set(upstream, {
      at,
      sentAt,
      softwareVersion,
      accounts: new Set([account]),
      companions: new Set(companions),
    });
    dropOldestCrash(record);
    return true;
  }
  const size = known.accounts.size + known.companions.size;
  known.sentAt = Math.max(known.sentAt, sentAt);
  known.accounts.add(account);
  for (const other of companions) known.companions.add(other);
  return known.accounts.size + known.companions.size > size;
}

function dropOldestCrash({ crashes }: PartRecord): void {
  if (crashes.size <= MAXIMUM_CRASHES) return;
  const [oldest] = crashes.keys();
  crashes.delete(oldest!);
}

/**
 * Counts the crashes one after the other: each with a request that was sent after
 * the crash counted before. Requests that broke off at once may all have been
 * ended by one outage. Where upstreams hang first, requests and crashes at
 * different times are enough.
 */
export function countGenerations(crashes: Iterable<CrashWithPart>): number {
  const ordered = [...crashes].toSorted((left, right) => left.at - right.at);
  let counted: CrashWithPart | undefined;
  let count = 0;
  for (const crash of ordered) {
    if (counted !== undefined && !isAfter(crash, counted)) continue;
    counted = crash;
    count++;
  }
  return count;
}

function isAfter(crash: CrashWithPart, earlier: CrashWithPart): boolean {
  if (crash.sentAt >= earlier.at) return true;
  const hasHung = crash.at >= crash.sentAt + HANG_MS;
  return hasHung && crash.at >= earlier.at + SEPARATE_MS &&
    crash.sentAt >= earlier.sentAt + SEPARATE_MS;
}

/** Returns the generations of all crashes of a part. */
export function generationsOf({ crashes }: PartRecord): number {
  return crashes.size < 2 ? crashes.size : countGenerations(crashes.values());
}

/** Whether no request with the part is known to have completed. */
export function isNew({ soundAt }: PartRecord): boolean {
  return !Number.isFinite(soundAt);
}

/** Whether more speaks against a part than against another one. */
export function isStronger(record: PartRecord, other: PartRecord): boolean {
  if (isNew(record) !== isNew(other)) return isNew(record);
  return record.crashes.size > other.crashes.size;
}

/** Whether a part was at all crashes of another one. */
export function includesCrashes(
  { crashes }: PartRecord,
  others: PartRecord["crashes"],
): boolean {
  return [...others.keys()].every((upstream) => crashes.has(upstream));
}

/** Returns the time of the first crash of a part that was at any. */
export function firstCrashAt({ crashes }: PartRecord): Milliseconds {
  return Math.min(...[...crashes.values()].map(({ at }) => at));
}
