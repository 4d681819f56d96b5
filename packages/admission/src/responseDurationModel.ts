import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import { LinearFit } from "./linearFit.ts";
import type { RouteId } from "./types.ts";
import type { UpstreamSpeed } from "./upstreamSpeed.ts";

/** Estimate until a route has samples. */
const INITIAL_ESTIMATE_MS: Milliseconds = 300;

/** Measured duration of one response, from its first event to its end. */
export interface ResponseDurationSample {
  readonly route: RouteId;
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  /** Response length in tokens that the caller expects; 0 if it gives none. */
  readonly expectedTokens: number;
  readonly duration: Milliseconds;
}

/**
 * Estimates how long a response takes from its first event to its end, from the
 * length that the caller expects or else from the mean of the route.
 *
 * Response lengths can differ by two orders of magnitude, and a request
 * occupies its slot for as long as its response runs.
 */
export class ResponseDurationModel {
  readonly #speed: UpstreamSpeed;
  readonly #fits = new Map<RouteId, LinearFit>();

  constructor(speed: UpstreamSpeed) {
    this.#speed = speed;
  }

  observe(
    { route, service, upstream, expectedTokens, duration }:
      ResponseDurationSample,
  ): void {
    const time = duration / this.#speed.slowness(service, upstream);
    const fit = this.#fits.get(route);
    if (fit === undefined) {
      this.#fits.set(route, new LinearFit(expectedTokens, time));
    } else fit.add(expectedTokens, time);
  }

  /**
   * Returns the expected duration at an upstream of the service's mean speed.
   */
  expected(route: RouteId, expectedTokens: number): Milliseconds {
    return this.#fits.get(route)?.predict(expectedTokens) ??
      INITIAL_ESTIMATE_MS;
  }
}
