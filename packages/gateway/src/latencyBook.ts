import type { Milliseconds, ServiceId } from "@wasabivane/common";

const SAMPLE_WEIGHT = 0.05;
/** Assumed before anything was seen. */
const FIRST_GUESS_MS: Milliseconds = 120;

/** Mean time from sending to the first event, or to the whole plain answer, by service. */
export class LatencyBook {
  readonly #means = new Map<ServiceId, Milliseconds>();

  observe(service: ServiceId, latency: Milliseconds): void {
    const mean = this.mean(service);
    this.#means.set(service, mean + SAMPLE_WEIGHT * (latency - mean));
  }

  mean(service: ServiceId): Milliseconds {
    return this.#means.get(service) ?? FIRST_GUESS_MS;
  }
}
