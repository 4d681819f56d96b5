import type { Milliseconds } from "@wasabivane/common";
import type { Quota } from "./types.ts";

/**
 * Share of the tolerance that is granted. The rest covers requests that exceed
 * the credit of their host.
 */
const GRANTED_SHARE = 0.9;

/**
 * Share of the burst that an account gets besides its rate while its earlier
 * usage is unknown, as callers wait after a restart of all hosts.
 */
const INITIAL_SHARE = 0.5;
/** Time in which it gets that after a restart of all hosts. */
const INITIAL_MS: Milliseconds = 300;
/** The same after a restart of some hosts, which may follow each other. */
const GRADUAL_INITIAL_MS: Milliseconds = 8_000;

/**
 * By how much all hosts together may exceed a quota, as they count without a
 * shared store.
 */
export interface QuotaTolerance {
  /** Share of the quota. */
  readonly overrun: number;
  /** Additional units in each span. */
  readonly slack: number;
  /** Span over which usage is counted. */
  readonly span: Milliseconds;
}

/** How a {@link QuotaBucket} is refilled. */
export interface QuotaRefill {
  readonly elapsed: Milliseconds;
  /** Share of the hosts that get credit from this bucket, 0 to 1. */
  readonly share: number;
  /** Units that hosts hold and have not used. */
  readonly held: number;
  /** Whether no host has had credit before. */
  readonly isNew: boolean;
  /** Units that become available in any case, for a whole request. */
  readonly least: number;
  /** Whether slots are free, so that the tolerance may be used up. */
  readonly isIdle: boolean;
}

/** Token bucket of an account's quota, from which hosts get credit. */
export class QuotaBucket {
  readonly #tolerance: QuotaTolerance;
  #level: number;
  /** Share of the burst that it gets for unknown usage, and has got so far. */
  readonly #initialShare: number;
  #initialShareAdded = 0;
  #age: Milliseconds = 0;

  /** Starts at a level that is known, or empty. */
  constructor(tolerance: QuotaTolerance, level?: number) {
    this.#tolerance = tolerance;
    this.#level = level ?? 0;
    this.#initialShare = level === undefined ? INITIAL_SHARE : 0;
  }

  /** Units available; negative while usage above the quota is repaid. */
  get level(): number {
    return this.#level;
  }

  /** Takes units, or returns them if negative. */
  take(units: number): void {
    this.#level -= units;
  }

  /**
   * Adds the units of the elapsed time. While some hosts may get credit
   * elsewhere, those that report here share the tolerance by their number, so
   * that an account within its quota is not refused.
   */
  refill(quota: Quota, refill: QuotaRefill): void {
    const { elapsed, share, held, least, isIdle } = refill;
    const shared = share * toleratedRate(quota, this.#tolerance);
    const rate = isIdle ? shared : Math.min(quota.perSecond, shared);
    const capacity = Math.max(least, share * quota.burst - held);
    const refilled = this.#level + rate * elapsed / 1_000 +
      this.#takeInitialShare(refill) * quota.burst;
    // A smaller share lowers what is added, not what is there.
    this.#level = Math.min(refilled, Math.max(capacity, this.#level));
    this.#level = Math.min(this.#level, quota.burst);
  }

  /** Returns the share of a burst to be added for unknown usage. */
  #takeInitialShare({ elapsed, share, isNew }: QuotaRefill): number {
    this.#age += elapsed;
    const span = isNew ? INITIAL_MS : GRADUAL_INITIAL_MS;
    const due = share * this.#initialShare * Math.min(1, this.#age / span);
    const added = Math.max(0, due - this.#initialShareAdded);
    this.#initialShareAdded += added;
    return added;
  }
}

/**
 * Returns the rate in units per second that keeps every span, including a burst,
 * within quota and tolerance.
 */
function toleratedRate(
  { perSecond, burst }: Quota,
  { overrun, slack, span }: QuotaTolerance,
): number {
  const seconds = span / 1_000;
  if (seconds <= 0) return perSecond;
  const allowed = (perSecond * seconds + burst) * (1 + overrun) + slack;
  return Math.max(perSecond, (GRANTED_SHARE * allowed - burst) / seconds);
}
