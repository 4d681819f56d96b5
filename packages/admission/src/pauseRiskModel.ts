import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import type { UpstreamSpeed } from "./upstreamSpeed.ts";

/** Late pauses per millisecond assumed for a service without samples. */
const INITIAL_RATE = 0.01 / 1_000;
/**
 * Streaming time by which the prior of an upstream weighs as much as its
 * samples.
 */
const PRIOR_MS: Milliseconds = 10_000;
/** Streaming time with which the samples of an upstream decay. */
const MEMORY_MS: Milliseconds = 40_000;

/** Pauses of one stream. */
export interface PauseSample {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  /** Number of pauses longer than the route's target. */
  readonly latePauses: number;
  /** From its first event to its end. */
  readonly duration: Milliseconds;
}

interface PauseTotals {
  pauses: number;
  duration: Milliseconds;
}

/**
 * Estimates the risk that a pause makes a stream late at an upstream.
 *
 * Upstreams process prompts between the tokens of their streams, which pauses
 * the streams, for longer at slow upstreams. Late pauses are modelled as a
 * constant rate while a stream runs. The prior of an upstream is the rate of
 * its service scaled by its slowness.
 */
export class PauseRiskModel {
  readonly #speed: UpstreamSpeed;
  readonly #upstreams = new Map<UpstreamId, PauseTotals>();
  readonly #services = new Map<ServiceId, PauseTotals>();

  constructor(speed: UpstreamSpeed) {
    this.#speed = speed;
  }

  observe({ service, upstream, ...sample }: PauseSample): void {
    add(this.#upstreams, upstream, sample);
    add(this.#services, service, sample);
  }

  /**
   * Returns the probability, 0 to 1, of a late pause within the given streaming
   * time.
   */
  risk(
    { service, upstream, duration }: {
      service: ServiceId;
      upstream: UpstreamId;
      duration: Milliseconds;
    },
  ): number {
    const serviceRate = rateOf(this.#services.get(service), INITIAL_RATE);
    const prior = serviceRate * this.#speed.slowness(service, upstream);
    const rate = rateOf(this.#upstreams.get(upstream), prior);
    return 1 - Math.exp(-rate * duration);
  }

  forget(upstream: UpstreamId): void {
    this.#upstreams.delete(upstream);
  }
}

function rateOf(totals: PauseTotals | undefined, prior: number): number {
  const { pauses, duration } = totals ?? { pauses: 0, duration: 0 };
  return (pauses + prior * PRIOR_MS) / (duration + PRIOR_MS);
}

function add<Key>(
  all: Map<Key, PauseTotals>,
  key: Key,
  { latePauses, duration }: Omit<PauseSample, "service" | "upstream">,
): void {
  const previous = all.get(key) ?? { pauses: 0, duration: 0 };
  const retained = MEMORY_MS / (MEMORY_MS + duration);
  all.set(key, {
    pauses: previous.pauses * retained + latePauses,
    duration: previous.duration * retained + duration,
  });
}
