import type { Milliseconds } from "@wasabivane/common";
import type { Quota } from "./types.ts";

/** A host that just started does not know what was used; it takes this share of a burst as left. */
const START_SHARE = 0.5;
/**
 * Part of what operators tolerate that is used. The rest covers what peers tell
 * late and what one restart of all hosts within the span forgets.
 */
const USED_TOLERANCE = 0.9;

/** By how much all hosts together may exceed a quota, as they count without a store. */
export interface QuotaTolerance {
  /** Share of the quota. */
  readonly overrun: number;
  /** Units besides, in each span. */
  readonly slack: number;
  /** Span over which operators count. */
  readonly span: Milliseconds;
}

/** What an account may still use: by its quota, and by what operators tolerate above it. */
export class QuotaBucket {
  readonly #tolerance: QuotaTolerance;
  #quota: Quota;
  #refilledAt: Milliseconds;
  /** Units left of the quota; below 0 for what was admitted above it. */
  #level: number;
  /** Units left of the quota and the tolerance. */
  #toleratedLevel: number;

  constructor(
    quota: Quota,
    { tolerance, now }: { tolerance: QuotaTolerance; now: Milliseconds },
  ) {
    this.#quota = quota;
    this.#tolerance = tolerance;
    this.#refilledAt = now;
    this.#level = quota.burst * START_SHARE;
    this.#toleratedLevel = this.#level;
  }

  get isWithinQuota(): boolean {
    return this.#level > 0;
  }

  get isTolerated(): boolean {
    return this.#toleratedLevel > 0;
  }

  /** Time until something is left of the quota, or of what is tolerated. */
  refillTime(isToleranceOpen: boolean): Milliseconds {
    const quotaTime = -this.#level / this.#quota.perSecond;
    const toleratedTime = -this.#toleratedLevel / this.#toleratedRate();
    const seconds = isToleranceOpen
      ? Math.min(quotaTime, toleratedTime)
      : quotaTime;
    return Math.max(0, seconds) * 1_000;
  }

  /** Takes units, or gives them back when negative. */
  take(units: number): void {
    this.#level -= units;
    this.#toleratedLevel -= units;
  }

  /** Fills up for the time gone by; `presumed` units a second went to silent peers. */
  refill(
    quota: Quota,
    { presumed, now }: { presumed: number; now: Milliseconds },
  ): void {
    const elapsed = (now - this.#refilledAt) / 1_000;
    const gained = (rate: number): number =>
      Math.max(0, rate - presumed) * elapsed;
    this.#quota = quota;
    this.#refilledAt = now;
    this.#level = Math.min(
      quota.burst,
      this.#level + gained(quota.perSecond),
    );
    this.#toleratedLevel = Math.min(
      quota.burst,
      this.#toleratedLevel + gained(this.#toleratedRate()),
    );
  }

  /** Units a second that keep every span within quota and tolerance, a burst included. */
  #toleratedRate(): number {
    const { overrun, slack, span } = this.#tolerance;
    const { perSecond, burst } = this.#quota;
    const seconds = span / 1_000;
    if (seconds <= 0) return perSecond;
    const granted = (perSecond * seconds + burst) * (1 + overrun) + slack;
    const rate = (USED_TOLERANCE * granted - burst) / seconds;
    return Math.max(perSecond, rate);
  }
}
