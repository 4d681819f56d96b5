import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import type { UpstreamSpeed } from "./upstreamSpeed.ts";

/** Weight of the newest sample: about fifty are remembered, some seconds of one host's work. */
const SAMPLE_WEIGHT = 0.02;
/** Assumed before anything was seen. */
const FIRST_GUESS_MS: Milliseconds = 120;

/** One request's time until its first event, or its whole plain answer. */
export interface FirstEventSample {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  /** Prompt tokens that the upstream had to read before: its own and those ahead. */
  readonly promptTokens: number;
  readonly duration: Milliseconds;
}

/** A straight line through samples, the newest weighing most. */
interface Fit {
  meanTokens: number;
  meanTime: Milliseconds;
  /** Variance of tokens, and their covariance with the time. */
  variance: number;
  covariance: number;
}

/**
 * Expects when the first event of a request comes at an upstream: a constant and a
 * time for each prompt token, learned by service, times the upstream's slowness.
 *
 * Answers the load pattern of prompts that differ a hundredfold before engines of
 * unlike speed. A mean over all requests takes a long prompt at a slow engine for
 * a silent upstream, whose work is then thrown away and begun anew elsewhere, and
 * it sends that prompt there in the first place.
 */
export class FirstEventModel {
  readonly #speed: UpstreamSpeed;
  readonly #fits = new Map<ServiceId, Fit>();

  constructor(speed: UpstreamSpeed) {
    this.#speed = speed;
  }

  observe(
    { service, upstream, promptTokens, duration }: FirstEventSample,
  ): void {
    const time = duration / this.#speed.slowness(service, upstream);
    const fit = this.#fits.get(service);
    if (fit !== undefined) return refit(fit, promptTokens, time);
    this.#fits.set(service, {
      meanTokens: promptTokens,
      meanTime: time,
      variance: 0,
      covariance: 0,
    });
  }

  /** Expected time at an upstream, or at the service's mean one. */
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
    if (fit === undefined) return FIRST_GUESS_MS * slowness;
    const time = fit.meanTime +
      slopeOf(fit) * (promptTokens - fit.meanTokens);
    return Math.max(0, time) * slowness;
  }

  /** Expected time in which an upstream reads so many prompt tokens. */
  reading(
    service: ServiceId,
    { promptTokens, upstream }: { promptTokens: number; upstream: UpstreamId },
  ): Milliseconds {
    const fit = this.#fits.get(service);
    if (fit === undefined) return 0;
    return slopeOf(fit) * promptTokens *
      this.#speed.slowness(service, upstream);
  }
}

function refit(fit: Fit, tokens: number, time: Milliseconds): void {
  const tokensOff = tokens - fit.meanTokens;
  const timeOff = time - fit.meanTime;
  fit.meanTokens += SAMPLE_WEIGHT * tokensOff;
  fit.meanTime += SAMPLE_WEIGHT * timeOff;
  fit.variance = (1 - SAMPLE_WEIGHT) *
    (fit.variance + SAMPLE_WEIGHT * tokensOff * tokensOff);
  fit.covariance = (1 - SAMPLE_WEIGHT) *
    (fit.covariance + SAMPLE_WEIGHT * tokensOff * timeOff);
}

/** Time for one token more; longer prompts never take less. */
function slopeOf({ variance, covariance }: Fit): number {
  return variance > 0 ? Math.max(0, covariance / variance) : 0;
}
