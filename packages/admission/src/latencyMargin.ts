import type { Milliseconds } from "@wasabivane/common";
import type { RouteId } from "./types.ts";

/** About twenty answers are remembered: a burst changes what engines take within a second. */
const SAMPLE_WEIGHT = 0.05;
/** With so many mean deviations above the mean, nine in ten first events come sooner. */
const DEVIATIONS = 1.6;

/** By how much first events came later than expected. */
interface Lateness {
  mean: Milliseconds;
  /** Mean distance from the mean. */
  deviation: Milliseconds;
}

/**
 * By how much a request must start before its expected first event would just be on time,
 * so that nine in ten of its route are.
 *
 * Answers the load pattern of lasting overload, in which the earliest due first start all
 * just before it is too late for the mean one. Engines are full then and read others'
 * prompts first, and each such request is a little late although it was served.
 */
export class LatencyMargin {
  readonly #routes = new Map<RouteId, Lateness>();

  /** A first event, or a whole plain answer, came so much later than expected. */
  observe(route: RouteId, lateness: Milliseconds): void {
    const known = this.#routes.get(route);
    if (known === undefined) {
      this.#routes.set(route, { mean: 0, deviation: 0 });
      return;
    }
    const off = lateness - known.mean;
    known.mean += SAMPLE_WEIGHT * off;
    known.deviation += SAMPLE_WEIGHT * (Math.abs(off) - known.deviation);
  }

  /** The margin of a route; 0 before anything was seen. */
  of(route: RouteId): Milliseconds {
    const known = this.#routes.get(route);
    if (known === undefined) return 0;
    return Math.max(0, known.mean + DEVIATIONS * known.deviation);
  }
}
