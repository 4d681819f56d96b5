import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";

/** Weight of the newest sample; about ten samples are remembered. */
const SAMPLE_WEIGHT = 0.1;
/** The service's mean is remembered for longer than one upstream's. */
const SERVICE_WEIGHT = 0.02;
const LEAST_RATIO = 0.4;
const GREATEST_RATIO = 4;

/** How long one unit of work took: one event of a stream, or one whole answer. */
export interface SpeedSample {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  readonly duration: Milliseconds;
}

/**
 * How slow each upstream is against the mean of its service.
 *
 * Answers the load pattern of engines of unlike speed and of one that turns slow:
 * with equal counts the slow ones hold callers longest. Only ratios are kept, so
 * that nothing has to be known of the engines beforehand.
 */
export class UpstreamSpeed {
  readonly #upstreams = new Map<UpstreamId, number>();
  readonly #services = new Map<ServiceId, number>();

  observe({ service, upstream, duration }: SpeedSample): void {
    this.#upstreams.set(
      upstream,
      blend(this.#upstreams.get(upstream), duration, SAMPLE_WEIGHT),
    );
    this.#services.set(
      service,
      blend(this.#services.get(service), duration, SERVICE_WEIGHT),
    );
  }

  /** 1 for the mean of the service, 2 for one that takes twice as long. */
  slowness(service: ServiceId, upstream: UpstreamId): number {
    const own = this.#upstreams.get(upstream);
    const mean = this.#services.get(service);
    if (own === undefined || mean === undefined || mean <= 0) return 1;
    return Math.min(GREATEST_RATIO, Math.max(LEAST_RATIO, own / mean));
  }

  forget(upstream: UpstreamId): void {
    this.#upstreams.delete(upstream);
  }
}

function blend(
  former: number | undefined,
  sample: number,
  weight: number,
): number {
  return former === undefined ? sample : former + weight * (sample - former);
}
