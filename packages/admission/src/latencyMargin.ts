import type { Milliseconds } from "@wasabivane/common";
import type { RouteId } from "./types.ts";

/** Weight of the newest sample; high enough to follow a burst. */
const SAMPLE_WEIGHT = 0.05;
/** Mean deviations above the mean that cover about nine in ten first events. */
const DEVIATIONS = 1.6;

/** How much later than expected first events came. */
interface Lateness {
  mean: Milliseconds;
  /** Mean absolute deviation from the mean. */
  deviation: Milliseconds;
}

/**
 * Learns by how much earlier than expected the requests of a route must start
 * so that about nine in ten are on time.
 *
 * In lasting overload, requests are started just before they become late. A
 * start that only fits the mean latency would make many of them slightly late.
 */
export class LatencyMargin {
  readonly #routes = new Map<RouteId, Lateness>();

  /**
   * Records how much later than expected a first event, or a complete response
   * without streaming, came.
   */
  observe(route: RouteId, excess: Milliseconds): void {
    const lateness = this.#routes.get(route);
    if (lateness === undefined) {
      this.#routes.set(route, { mean: 0, deviation: 0 });
      return;
    }
    const offset = excess - lateness.mean;
    lateness.mean += SAMPLE_WEIGHT * offset;
    lateness.deviation += SAMPLE_WEIGHT *
      (Math.abs(offset) - lateness.deviation);
  }

  /** Returns the margin of a route; 0 before any samples. */
  of(route: RouteId): Milliseconds {
    const lateness = this.#routes.get(route);
    if (lateness === undefined) return 0;
    return Math.max(0, lateness.mean + DEVIATIONS * lateness.deviation);
  }
}
