import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import { LinearFit } from "./linearFit.ts";
import type { UpstreamSpeed } from "./upstreamSpeed.ts";

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
    return (fit?.predict(promptTokens) ?? FIRST_GUESS_MS) * slowness;
  }

  /** Expected time in which an upstream reads so many prompt tokens. */
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
