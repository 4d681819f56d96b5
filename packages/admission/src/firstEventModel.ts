import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import { LinearFit } from "./linearFit.ts";
import type { UpstreamSpeed } from "./upstreamSpeed.ts";

/** Estimate until a service has samples. */
const INITIAL_ESTIMATE_MS: Milliseconds = 120;

/**
 * Measured time until the first event of a stream, or until the complete
 * response without streaming.
 */
export interface FirstEventSample {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  /**
   * Prompt tokens that the upstream processed before: those of the request and
   * of requests ahead of it.
   */
  readonly promptTokens: number;
  readonly duration: Milliseconds;
}

/**
 * Estimates the time to the first event at an upstream: a constant plus a time
 * per prompt token, learned per service and scaled by the slowness of the
 * upstream.
 *
 * A mean over all requests would mistake a slow upstream with a long prompt for
 * an unresponsive one, and would place long prompts there.
 */
export class FirstEventModel {
  readonly #speed: UpstreamSpeed;
  readonly #fits = new Map<ServiceId, LinearFit>();

  constructor(speed: UpstreamSpeed) {
    this.#speed = speed;
  }

  observe(
    { service, upstream, promptTokens, duration }: FirstEventSample,
  ): void {
    const time = duration / this.#speed.slowness(service, upstream);
    const fit = this.#fits.get(service);
    if (fit === undefined) {
      this.#fits.set(service, new LinearFit(promptTokens, time));
    } else fit.add(promptTokens, time);
  }

  /**
   * Returns the expected time at an upstream, or at one of the service's mean
   * speed.
   */
  expected(
    service: ServiceId,
    { promptTokens, upstream }: {
      promptTokens: number;
      upstream?: UpstreamId;
    },
  ): Milliseconds {
    const slowness = upstream === undefined
      ? 1
      : this.#speed.slowness(service, upstream);
    const fit = this.#fits.get(service);
    return (fit?.predict(promptTokens) ?? INITIAL_ESTIMATE_MS) * slowness;
  }

  /**
   * Returns the expected time in which an upstream processes the given prompt
   * tokens.
   */
  prefillTime(
    service: ServiceId,
    { promptTokens, upstream }: { promptTokens: number; upstream: UpstreamId },
  ): Milliseconds {
    const fit = this.#fits.get(service);
    if (fit === undefined) return 0;
    return fit.slope * promptTokens *
      this.#speed.slowness(service, upstream);
  }
}
