import type { Milliseconds } from "@wasabivane/common";
import type { EngineCounters } from "@wasabivane/engine-model";
import { type Arrival, TIER_LOADS } from "./arrivals.ts";

/** Why computed prompt tokens were wasted. */
export type WasteCause = "late" | "broken" | "cancelled" | "shedAfterStart";

/** Counts by tier number. */
export type ByTier = Record<string, number>;

/** Results of an experiment under one policy. */
export interface PolicyResult {
  readonly goodputByTier: ByTier;
  readonly offeredByTier: ByTier;
  readonly prefillTokens: number;
  readonly wastedPrefillTokens: number;
  readonly wastedByCause: Record<WasteCause, number>;
  readonly ttftP99MsByTier: ByTier;
  readonly refusedByTier: ByTier;
  readonly refusedByReason: Record<string, number>;
  /** Requests shed while one of a lower tier stayed queued. */
  readonly tierInversions: number;
  /**
   * Requests not started by their deadline although a lower tier was meanwhile
   * given an upstream that, when idle, would have served them in time at any
   * output length. Overestimates, since that upstream may have been loaded.
   */
  readonly passedOver: number;
  readonly doubleDispatches: number;
  readonly crossedAnswers: number;
  readonly falseNotRun: number;
  readonly lost: number;
  readonly weightedGoodput: number;
  /** Responses cut off by the loss of their upstream and not resent. */
  readonly broken: number;
  readonly upstreamsLost: number;
  readonly dispatches: number;
  /** Requests sent by callers, including resends. */
  readonly sent: number;
}

/** A complete response, for the plots. */
export interface ResponseSample {
  readonly tier: number;
  readonly at: Milliseconds;
  /** Time from the arrival to the grant. */
  readonly waited: Milliseconds;
}

/** Collects the counters of one experiment run. */
export class ExperimentStats {
  readonly goodput = zeroByTier();
  readonly offered = zeroByTier();
  readonly refused = zeroByTier();
  readonly refusedByReason: Record<string, number> = {};
  readonly wasted: Record<WasteCause, number> = {
    late: 0,
    broken: 0,
    cancelled: 0,
    shedAfterStart: 0,
  };
  readonly responses: ResponseSample[] = [];
  readonly #firstTokens: Record<string, Milliseconds[]> = {};
  tierInversions = 0;
  passedOver = 0;
  doubleDispatches = 0;
  crossedAnswers = 0;
  falseNotRun = 0;
  unanswered = 0;
  broken = 0;
  upstreamsLost = 0;
  dispatches = 0;
  sent = 0;

  recordResponse({ tier }: Arrival, sample: ResponseSample): void {
    this.goodput[tier]!++;
    this.responses.push(sample);
  }

  recordRefusal({ tier, isPoison }: Arrival, reason: string): void {
    if (isPoison) return;
    this.refused[tier]!++;
    this.refusedByReason[reason] = (this.refusedByReason[reason] ?? 0) + 1;
  }

  recordFirstToken({ tier }: Arrival, elapsed: Milliseconds): void {
    (this.#firstTokens[tier] ??= []).push(elapsed);
  }

  result(engines: readonly EngineCounters[]): PolicyResult {
    return {
      goodputByTier: this.goodput,
      offeredByTier: this.offered,
      prefillTokens: total(engines.map((counters) => counters.prefillTokens)),
      wastedPrefillTokens: total(Object.values(this.wasted)),
      wastedByCause: this.wasted,
      ttftP99MsByTier: this.#firstTokenP99(),
      refusedByTier: this.refused,
      refusedByReason: this.refusedByReason,
      tierInversions: this.tierInversions,
      passedOver: this.passedOver,
      doubleDispatches: this.doubleDispatches,
      crossedAnswers: this.crossedAnswers,
      falseNotRun: this.falseNotRun,
      lost: this.unanswered,
      weightedGoodput: weightedSum(this.goodput),
      broken: this.broken,
      upstreamsLost: this.upstreamsLost,
      dispatches: this.dispatches,
      sent: this.sent,
    };
  }

  #firstTokenP99(): ByTier {
    return Object.fromEntries(
      Object.entries(this.#firstTokens).sort().map(([tier, times]) => {
        times.sort((left, right) => left - right);
        return [tier, Math.round(times[Math.floor(times.length * 0.99)]!)];
      }),
    );
  }
}

/** Sums counts by tier, weighted by {@link TIER_LOADS}. */
export function weightedSum(byTier: ByTier): number {
  return total(
    TIER_LOADS.map(({ tier, weight }) => weight * (byTier[tier] ?? 0)),
  );
}

function zeroByTier(): ByTier {
  return Object.fromEntries(TIER_LOADS.map(({ tier }) => [tier, 0]));
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
