import type { Milliseconds, UpstreamId } from "@wasabivane/common";

/** Holds the times per token of an upstream under its current load. */
export interface TokenTimes {
  readonly prefillMsPerToken: number;
  readonly decodeMsPerToken: number;
  /** Requests in flight when these times were measured. */
  readonly typicalInFlight: number;
}

/** Describes the first token of a response. */
export interface FirstTokenObservation {
  readonly upstream: UpstreamId;
  /** Prompt tokens to be computed at the upstream, its own included. */
  readonly backlogTokens: number;
  /** Time from the grant to the first token. */
  readonly elapsed: Milliseconds;
}

/** Describes a response that ended. */
export interface DecodeObservation {
  readonly upstream: UpstreamId;
  readonly outputTokens: number;
  /** Time from the first token to the last. */
  readonly elapsed: Milliseconds;
  /** Requests in flight at the upstream when it ended, itself included. */
  readonly inFlight: number;
}

/** Options of a {@link SpeedEstimator}. */
export interface SpeedEstimatorOptions {
  /** Times by generation, used until responses were observed. */
  readonly initialTimes?: Readonly<Record<string, TokenTimes>>;
}

/** Pessimistic defaults, so that upstreams of known speed are preferred. */
const DEFAULT_TIMES: TokenTimes = {
  prefillMsPerToken: 0.15,
  decodeMsPerToken: 60,
  typicalInFlight: 8,
};
/** Weight of a new sample in the average of its upstream. */
const UPSTREAM_SAMPLE_WEIGHT = 0.2;
/** Weight of a new sample in the average of its generation. */
const GENERATION_SAMPLE_WEIGHT = 0.05;
/** With fewer tokens, fixed costs dominate the measured time. */
const MINIMUM_PREFILL_TOKENS = 256;
const MINIMUM_OUTPUT_TOKENS = 8;

/**
 * Estimates the times per prompt token and per output token of each upstream,
 * as moving averages over its responses. An upstream without responses takes
 * the times of its generation.
 */
export class SpeedEstimator {
  readonly #initialTimes: Readonly<Record<string, TokenTimes>>;
  readonly #generationOf = new Map<UpstreamId, string>();
  readonly #upstreams = new Map<UpstreamId, LearnedTimes>();
  readonly #generations = new Map<string, LearnedTimes>();

  constructor({ initialTimes = {} }: SpeedEstimatorOptions = {}) {
    this.#initialTimes = initialTimes;
  }

  /** Registers an upstream; its initial times are those of its generation. */
  register(upstream: UpstreamId, generation: string): void {
    this.#generationOf.set(upstream, generation);
  }

  /** Removes an upstream that is gone. */
  remove(upstream: UpstreamId): void {
    this.#generationOf.delete(upstream);
    this.#upstreams.delete(upstream);
  }

  /** Returns the current times of one upstream. */
  times(upstream: UpstreamId): TokenTimes {
    const learned = this.#upstreams.get(upstream);
    if (learned !== undefined && isComplete(learned)) return learned;
    return { ...this.#generationTimes(upstream), ...learned };
  }

  /** Records the time to first token of a response. */
  observeFirstToken(
    { upstream, backlogTokens, elapsed }: FirstTokenObservation,
  ): void {
    if (backlogTokens < MINIMUM_PREFILL_TOKENS) return;
    this.#learn(upstream, "prefillMsPerToken", elapsed / backlogTokens);
  }

  /** Records the decode time of a response. */
  observeDecode(
    { upstream, outputTokens, elapsed, inFlight }: DecodeObservation,
  ): void {
    if (outputTokens < MINIMUM_OUTPUT_TOKENS) return;
    this.#learn(upstream, "decodeMsPerToken", elapsed / (outputTokens - 1));
    this.#learn(upstream, "typicalInFlight", inFlight);
  }

  #learn(
    upstream: UpstreamId,
    key: keyof TokenTimes,
    sample: number,
  ): void {
    const own = this.#upstreams.get(upstream) ?? {};
    this.#upstreams.set(upstream, own);
    own[key] = movingAverage(
      own[key] ?? this.#generationTimes(upstream)[key],
      sample,
      UPSTREAM_SAMPLE_WEIGHT,
    );
    const generation = this.#generationOf.get(upstream);
    if (generation === undefined) return;
    const shared = this.#generations.get(generation) ?? {};
    this.#generations.set(generation, shared);
    // The first sample of a generation replaces the default.
    shared[key] = shared[key] === undefined
      ? sample
      : movingAverage(shared[key], sample, GENERATION_SAMPLE_WEIGHT);
  }

  #generationTimes(upstream: UpstreamId): TokenTimes {
    return this.generationTimes(this.#generationOf.get(upstream) ?? "");
  }

  /** Returns whether times of the generation are given or were measured. */
  isKnown(generation: string): boolean {
    return this.#initialTimes[generation] !== undefined ||
      this.#generations.get(generation)?.decodeMsPerToken !== undefined;
  }

  /** Returns the average times of a generation. */
  generationTimes(generation: string): TokenTimes {
    const learned = this.#generations.get(generation);
    if (learned !== undefined && isComplete(learned)) return learned;
    const initial = this.#initialTimes[generation] ?? DEFAULT_TIMES;
    return { ...initial, ...learned };
  }
}

type LearnedTimes = { -readonly [Key in keyof TokenTimes]?: number };

function isComplete(times: LearnedTimes): times is TokenTimes {
  return times.prefillMsPerToken !== undefined &&
    times.decodeMsPerToken !== undefined &&
    times.typicalInFlight !== undefined;
}

function movingAverage(
  previous: number,
  sample: number,
  weight: number,
): number {
  return previous + weight * (sample - previous);
}
