import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.1;
/**
 * Weight of the newest sample in the service's mean, which changes more slowly.
 */
const SERVICE_WEIGHT = 0.02;
const MINIMUM_SLOWNESS = 0.4;
const MAXIMUM_SLOWNESS = 4;

/**
 * Measured duration of one unit of work: one event of a stream, or one complete
 * response.
 */
export interface SpeedSample {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  readonly duration: Milliseconds;
}

/** A moving mean; its first samples weigh equally. */
interface Mean {
  value: Milliseconds;
  samples: number;
}

/**
 * Measures how slow each upstream is relative to the mean of its service.
 *
 * With equal request counts, slow upstreams would hold their callers longest.
 * Only ratios are kept, so no hardware details are needed.
 */
export class UpstreamSpeed {
  readonly #upstreams = new Map<UpstreamId, Mean>();
  readonly #services = new Map<ServiceId, Mean>();

  observe({ service, upstream, duration }: SpeedSample): void {
    blend(this.#upstreams, upstream, { duration, weight: SAMPLE_WEIGHT });
    blend(this.#services, service, { duration, weight: SERVICE_WEIGHT });
  }

  /**
   * Returns 1 for the mean of the service, 2 for an upstream that takes twice
   * as long.
   */
  slowness(service: ServiceId, upstream: UpstreamId): number {
    const known = this.#upstreams.get(upstream);
    const mean = this.#services.get(service);
    if (known === undefined || mean === undefined || mean.value <= 0) return 1;
    const ratio = known.value / mean.value;
    return Math.min(MAXIMUM_SLOWNESS, Math.max(MINIMUM_SLOWNESS, ratio));
  }

  forget(upstream: UpstreamId): void {
    this.#upstreams.delete(upstream);
  }
}

/** Adds a sample to a mean. */
function blend<Key>(
  means: Map<Key, Mean>,
  key: Key,
  { duration, weight }: { duration: Milliseconds; weight: number },
): void {
  const mean = means.get(key) ?? { value: 0, samples: 0 };
  mean.samples++;
  const share = Math.max(weight, 1 / mean.samples);
  mean.value += share * (duration - mean.value);
  means.set(key, mean);
}
