import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import type { UpstreamSpeed } from "./upstreamSpeed.ts";

/** Late pauses a millisecond that a service is taken to have before anything was seen. */
const FIRST_RATE = 0.01 / 1_000;
/** Streaming time for which an upstream is judged by its speed as much as by what was seen. */
const PRIOR_MS: Milliseconds = 10_000;
/** Streaming time that is remembered of one upstream: about half a minute of one host's work. */
const MEMORY_MS: Milliseconds = 40_000;

/** What one stream showed. */
export interface PauseSample {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  /** Pauses that were longer than its route's target. */
  readonly latePauses: number;
  /** From its first event to its end. */
  readonly duration: Milliseconds;
}

interface Seen {
  pauses: number;
  duration: Milliseconds;
}

/**
 * How likely a stream is late by a pause at each upstream.
 *
 * Answers the load pattern of long prompts among streams. An engine reads prompts
 * between the tokens of its streams, so that these pause; at a slow engine for so
 * long that each second there is late as often as several at a fast one. Pauses come
 * at a steady rate while a stream runs: twice the time means twice the risk. Before
 * enough was seen of an upstream, it is taken to pause as its service does, the more
 * the slower it is.
 */
export class PauseRiskModel {
  readonly #speed: UpstreamSpeed;
  readonly #upstreams = new Map<UpstreamId, Seen>();
  readonly #services = new Map<ServiceId, Seen>();

  constructor(speed: UpstreamSpeed) {
    this.#speed = speed;
  }

  observe({ service, upstream, ...sample }: PauseSample): void {
    add(this.#upstreams, upstream, sample);
    add(this.#services, service, sample);
  }

  /** Chance of a late pause, 0 to 1, within so much streaming time there. */
  risk(
    { service, upstream, duration }: {
      service: ServiceId;
      upstream: UpstreamId;
      duration: Milliseconds;
    },
  ): number {
    const usual = rateOf(this.#services.get(service), FIRST_RATE);
    const prior = usual * this.#speed.slowness(service, upstream);
    const rate = rateOf(this.#upstreams.get(upstream), prior);
    return 1 - Math.exp(-rate * duration);
  }

  forget(upstream: UpstreamId): void {
    this.#upstreams.delete(upstream);
  }
}

function rateOf(seen: Seen | undefined, prior: number): number {
  const { pauses, duration } = seen ?? { pauses: 0, duration: 0 };
  return (pauses + prior * PRIOR_MS) / (duration + PRIOR_MS);
}

function add<Key>(
  all: Map<Key, Seen>,
  key: Key,
  { latePauses, duration }: Omit<PauseSample, "service" | "upstream">,
): void {
  const former = all.get(key) ?? { pauses: 0, duration: 0 };
  const kept = MEMORY_MS / (MEMORY_MS + duration);
  all.set(key, {
    pauses: former.pauses * kept + latePauses,
    duration: former.duration * kept + duration,
  });
}
