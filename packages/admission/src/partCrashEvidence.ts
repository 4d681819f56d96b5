import type { Digest, Milliseconds } from "@wasabivane/common";
import { BreakShares } from "./breakShares.ts";
import type { PartCompletion, PartConviction, PartCrash } from "./partCrash.ts";
import {
  addCrash,
  countGenerations,
  firstCrashAt,
  generationsOf,
  includesCrashes,
  isNew,
  isStronger,
  type PartRecord,
} from "./partRecord.ts";

/** What convicts a part. */
interface Limits {
  /** Crashes one after the other. */
  readonly generations: number;
  /** How unlikely they must be by chance. */
  readonly odds: number;
  /**
   * Other requests that must have completed. If none has, all upstreams may be
   * down, or this host has just started and does not know which parts are sound.
   */
  readonly others: number;
}

const LIMITS: Limits = { generations: 3, odds: 1e6, others: 3 };
/** For a part that is new to a host whose peers cannot object. */
const ALONE_LIMITS: Limits = { generations: 2, odds: 1e3, others: 10 };
/** For a part that has been sound. */
const TRUSTED_LIMITS: Limits = { generations: 5, odds: 1e2, others: 2 };
/** Time before a part's first crash that shows how often requests break off. */
const USUAL_WINDOW_MS: Milliseconds = 10_000;
const RETENTION_MS: Milliseconds = 600_000;
const MAXIMUM_PARTS = 2_000;
const MAXIMUM_COMPLETED_PARTS = 4_000;

/** What to conclude from crashes with a part. */
export type PartVerdict = Omit<PartConviction, "failedTrials">;

/** Options of {@link PartCrashEvidence.assess}. */
export interface AssessmentOptions {
  readonly now: Milliseconds;
  /** Whether this host hears none of its peers. */
  readonly isAlone: boolean;
  /** Whether parts that are convicted explain a crash with these. */
  readonly isExplained: (parts: ReadonlySet<Digest>) => boolean;
}

/**
 * Which parts of prompts were at which crashes, and which have completed since.
 *
 * A part that crashes upstreams is at one crash after the other and never
 * completes. A sound part that runs beside it, or that many requests share,
 * completes elsewhere.
 */
export class PartCrashEvidence {
  readonly #records = new Map<Digest, PartRecord>();
  /** Parts that have completed at this host, oldest first. */
  readonly #completedParts = new Map<Digest, Milliseconds>();
  readonly #shares = new BreakShares();

  /** Records a crash that this host or a peer saw; returns whether it was new. */
  recordCrash(
    crash: PartCrash,
    { isOwn, now }: { isOwn: boolean; now: Milliseconds },
  ): boolean {
    if (now - crash.at > RETENTION_MS) return false;
    this.#shares.recordCrash(crash, isOwn);
    let isNews = false;
    for (const part of crash.parts) {
      if (addCrash(this.#recordOf(part), { part, crash })) isNews = true;
    }
    return isNews;
  }

  /** Records a completion of this host's; returns the parts it speaks for. */
  recordOwnCompletion(
    parts: readonly Digest[],
    { at, softwareVersion }: Omit<PartCompletion, "part">,
  ): PartCompletion[] {
    this.#shares.recordCompletion(at);
    for (const part of parts) this.#rememberCompletion(part, at);
    return parts
      .map((part) => ({ part, at, softwareVersion }))
      .filter((completion) => this.recordCompletion(completion));
  }

  /** Records a completion; returns whether it refutes crashes of its part. */
  recordCompletion({ part, at, softwareVersion }: PartCompletion): boolean {
    const record = this.#records.get(part);
    if (record === undefined) return false;
    const former = record.completedAt.get(softwareVersion) ?? -Infinity;
    record.completedAt.set(softwareVersion, Math.max(former, at));
    record.soundAt = Math.max(record.soundAt, at);
    let isRefuting = false;
    for (const [upstream, crash] of record.crashes) {
      if (crash.at > at || crash.softwareVersion !== softwareVersion) continue;
      isRefuting = record.crashes.delete(upstream);
    }
    return isRefuting;
  }

  /** Returns the completions that refute a crash with these parts. */
  completionsAfter(
    { parts, at, softwareVersion }: Pick<
      PartCrash,
      "parts" | "at" | "softwareVersion"
    >,
  ): PartCompletion[] {
    return parts.flatMap((part) => {
      const completedAt = this.#records.get(part)?.completedAt
        .get(softwareVersion) ?? -Infinity;
      return completedAt < at
        ? []
        : [{ part, at: completedAt, softwareVersion }];
    });
  }

  /**
   * Returns earlier completions at this host of parts that are near a conviction
   * or past it, for hosts that do not know of these completions.
   */
  earlierCompletions(
    { parts, softwareVersion }: Pick<PartCrash, "parts" | "softwareVersion">,
  ): PartCompletion[] {
    return parts.flatMap((part) => {
      const record = this.#records.get(part);
      const at = this.#completedParts.get(part);
      if (at === undefined) return [];
      const isNear = record === undefined ||
        generationsOf(record) >= ALONE_LIMITS.generations;
      return isNear ? [{ part, at, softwareVersion }] : [];
    });
  }

  /** Whether a part has been sound, and too little speaks against it since. */
  isTrusted(part: Digest): boolean {
    const record = this.#records.get(part);
    if (record === undefined) return this.#completedParts.has(part);
    return !isNew(record) && !this.#isSuspect(part, record);
  }

  /** Returns the conviction that the crashes with a part amount to, if any. */
  assess(part: Digest, options: AssessmentOptions): PartVerdict | undefined {
    const record = this.#records.get(part);
    if (record === undefined) return undefined;
    expireCrashes(record, options.now);
    const isSuspect = isNew(record)
      ? this.#isNewSuspect(part, record, options)
      : this.#isSuspect(part, record);
    if (!isSuspect || this.#isExplained(record, options)) return undefined;
    return createVerdict([part, ...this.#companionsOf(record)], record);
  }

  #isNewSuspect(
    part: Digest,
    record: PartRecord,
    { isAlone, isExplained }: AssessmentOptions,
  ): boolean {
    const limits = isAlone ? ALONE_LIMITS : LIMITS;
    const generations = generationsOf(record);
    if (generations < limits.generations) return false;
    const since = firstCrashAt(record);
    const others = this.#shares.completionsSince(since - USUAL_WINDOW_MS);
    if (others < limits.others) return false;
    const share = this.#shares.apartFrom(part, {
      since,
      window: USUAL_WINDOW_MS,
      isExplained: (parts) => isExplained(parts) || this.#hasNewSuspect(parts),
    });
    return share ** -generations >= limits.odds;
  }

  /** Whether enough speaks against a part that has been sound. */
  #isSuspect(part: Digest, record: PartRecord): boolean {
    const { soundAt } = record;
    const generations = generationsOf(record);
    if (generations < TRUSTED_LIMITS.generations) return false;
    const others = this.#shares.completionsSince(soundAt);
    if (others < TRUSTED_LIMITS.others) return false;
    const share = this.#shares.beside(part, soundAt);
    return share ** -generations >= TRUSTED_LIMITS.odds;
  }

  #hasNewSuspect(parts: ReadonlySet<Digest>): boolean {
    return [...parts].some((part) => {
      const record = this.#records.get(part);
      return record !== undefined && isNew(record) &&
        generationsOf(record) >= LIMITS.generations;
    });
  }

  /**
   * Whether other parts explain these crashes, so that the ones without them
   * would not convict.
   */
  #isExplained(record: PartRecord, { isAlone }: AssessmentOptions): boolean {
    const { generations } = isAlone ? ALONE_LIMITS : LIMITS;
    const suspects = [...this.#records.values()].filter((other) =>
      isStronger(other, record) && generationsOf(other) >= generations
    );
    const rest = [...record.crashes].filter(([upstream]) =>
      !suspects.some(({ crashes }) => crashes.has(upstream))
    );
    return countGenerations(rest.map(([, crash]) => crash)) < generations;
  }

  /** Returns the parts that nothing distinguishes from the one recorded. */
  #companionsOf(record: PartRecord): Digest[] {
    const [first, ...others] = [...record.crashes.values()];
    return [...first!.companions].filter((part) => {
      const companion = this.#records.get(part);
      return others.every(({ companions }) => companions.has(part)) &&
        companion !== undefined && isNew(companion) === isNew(record) &&
        includesCrashes(companion, record.crashes);
    });
  }

  #recordOf(part: Digest): PartRecord {
    const known = this.#records.get(part);
    if (known !== undefined) return known;
    const record: PartRecord = {
      crashes: new Map(),
      completedAt: new Map(),
      soundAt: this.#completedParts.get(part) ?? -Infinity,
    };
    this.#records.set(part, record);
    if (this.#records.size > MAXIMUM_PARTS) this.#dropLeastSuspect();
    return record;
  }

  /** Drops the oldest part that has not been at crashes one after the other. */
  #dropLeastSuspect(): void {
    const [oldest] = this.#records.keys();
    for (const [part, record] of this.#records) {
      if (generationsOf(record) > 1) continue;
      this.#records.delete(part);
      return;
    }
    this.#records.delete(oldest!);
  }

  #rememberCompletion(part: Digest, at: Milliseconds): void {
    this.#completedParts.delete(part);
    this.#completedParts.set(part, at);
    if (this.#completedParts.size <= MAXIMUM_COMPLETED_PARTS) return;
    const [oldest] = this.#completedParts.keys();
    this.#completedParts.delete(oldest!);
  }
}

function expireCrashes({ crashes }: PartRecord, now: Milliseconds): void {
  for (const [upstream, { at }] of crashes) {
    if (now - at > RETENTION_MS) crashes.delete(upstream);
  }
}

function createVerdict(
  parts: readonly Digest[],
  { crashes }: PartRecord,
): PartVerdict {
  const all = [...crashes.values()];
  const accounts = new Set(all.flatMap(({ accounts }) => [...accounts]));
  const versions = new Set(all.map(({ softwareVersion }) => softwareVersion));
  return {
    parts: parts.toSorted(),
    account: accounts.size === 1 ? [...accounts][0] : undefined,
    lastCrashAt: Math.max(...all.map(({ at }) => at)),
    softwareVersions: [...versions],
  };
}
