import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import { LinearFit } from "./linearFit.ts";
import type { RouteId } from "./types.ts";
import type { UpstreamSpeed } from "./upstreamSpeed.ts";

/** Assumed before anything was seen of a route. */
const FIRST_GUESS_MS: Milliseconds = 300;

/** One answer's time from its first event to its end. */
export interface ResponseDurationSample {
  readonly route: RouteId;
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  /** Tokens that the caller expected; 0 where it did not say. */
  readonly expectedTokens: number;
  readonly duration: Milliseconds;
}

/**
 * Expects how long an answer takes from its first event to its end: by the length
 * that its caller expects where it says one, else the mean of its route.
 *
 * Answers the load pattern of answers that differ a hundredfold in length before
 * engines that run few at once: what a request costs the others is the time for
 * which it holds its place.
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

  /** Expected time at the service's mean upstream. */
  expected(route: RouteId, expectedTokens: number): Milliseconds {
    return this.#fits.get(route)?.predict(expectedTokens) ?? FIRST_GUESS_MS;
  }
}
