import type { Milliseconds, ServiceId } from "@wasabivane/common";
import type { FirstEventModel } from "./firstEventModel.ts";
import type { ResponseDurationModel } from "./responseDurationModel.ts";
import type { RouteId } from "./types.ts";

/** Weight of the newest sample once there are enough. */
const SAMPLE_WEIGHT = 0.05;
/** Deviation that is assumed after one sample, as a share of its duration. */
const INITIAL_DEVIATION_SHARE = 0.5;
/** Mean deviations that a long, yet usual, attempt takes more than expected. */
const USUAL_DEVIATIONS = 3;

/** What the duration of an attempt depends on. */
export interface AttemptWork {
  readonly route: RouteId;
  readonly service: ServiceId;
  readonly promptTokens: number;
  /** Response length in tokens that the caller expects; 0 if it gives none. */
  readonly expectedTokens: number;
}

/** By how much the attempts of a route differ from what is expected of them. */
interface RouteErrors {
  samples: number;
  mean: Milliseconds;
  deviation: Milliseconds;
}

/**
 * Estimates how long an attempt may take from its send to the end of its response:
 * what is expected by its size, plus how far the attempts of its route usually
 * exceed that.
 */
export class AttemptDurationModel {
  readonly #firstEvents: FirstEventModel;
  readonly #responseDurations: ResponseDurationModel;
  readonly #errors = new Map<RouteId, RouteErrors>();

  constructor(
    { firstEvents, responseDurations }: {
      firstEvents: FirstEventModel;
      responseDurations: ResponseDurationModel;
    },
  ) {
    this.#firstEvents = firstEvents;
    this.#responseDurations = responseDurations;
  }

  /** Records a complete response; called before the other models learn from it. */
  observe(work: AttemptWork, duration: Milliseconds): void {
    const error = duration - this.#expected(work);
    const errors = this.#errors.get(work.route);
    if (errors === undefined) {
      const deviation = INITIAL_DEVIATION_SHARE * duration;
      this.#errors.set(work.route, { samples: 1, mean: error, deviation });
      return;
    }
    const weight = Math.max(SAMPLE_WEIGHT, 1 / ++errors.samples);
    const difference = error - errors.mean;
    errors.mean += weight * difference;
    errors.deviation += weight * (Math.abs(difference) - errors.deviation);
  }

  /**
   * Returns a duration that few attempts exceed; `undefined` until the route has a
   * sample.
   */
  longest(work: AttemptWork): Milliseconds | undefined {
    const errors = this.#errors.get(work.route);
    if (errors === undefined) return undefined;
    const { mean, deviation } = errors;
    return Math.max(
      0,
      this.#expected(work) + mean + USUAL_DEVIATIONS * deviation,
    );
  }

  #expected(
    { route, service, promptTokens, expectedTokens }: AttemptWork,
  ): Milliseconds {
    return this.#firstEvents.expected(service, { promptTokens }) +
      this.#responseDurations.expected(route, expectedTokens);
  }
}
