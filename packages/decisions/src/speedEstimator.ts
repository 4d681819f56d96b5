import type { Milliseconds, UpstreamId } from "@wasabivane/common";

/** How long one token takes at an upstream under its present load. */
export interface TokenTimes {
  readonly prefillMsPerToken: number;
  readonly decodeMsPerToken: number;
  /** Requests in flight there when answers showed these times. */
  readonly typicalInFlight: number;
}

/** A first token that arrived. */
export interface FirstTokenObservation {
  readonly upstream: UpstreamId;
  /** Prompt tokens that had to be computed at the upstream, its own included. */
  readonly backlogTokens: number;
  /** Time from the grant to the first token. */
  readonly elapsed: Milliseconds;
}

/** A whole answer that arrived. */
export interface DecodeObservation {
  readonly upstream: UpstreamId;
  readonly outputTokens: number;
  /** Time from the first token to the last. */
  readonly elapsed: Milliseconds;
  /** Requests in flight there when it ended, itself included. */
  readonly inFlight: number;
}

/** Options of a {@link SpeedEstimator}. */
export interface SpeedEstimatorOptions {
  /** Known times of a generation, before any answer of it was seen. */
  readonly initialTimes?: Readonly<Record<string, TokenTimes>>;
}

/** An unknown engine is taken for a slow one, so that known ones are preferred. */
const DEFAULT_TIMES: TokenTimes = {
  prefillMsPerToken: 0.15,
  decodeMsPerToken: 60,
  typicalInFlight: 8,
};
/** Weight of a new answer: about the last five answers count. */
const UPSTREAM_GAIN = 0.2;
/** Weight of a new answer in the figures of its generation. */
const GENERATION_GAIN = 0.05;
/** Below these, fixed costs hide the time of a token. */
const MINIMUM_PREFILL_TOKENS = 256;
const MINIMUM_OUTPUT_TOKENS = 8;

/**
 * Answers the load pattern of engines of unlike and changing speed: times of a
 * prompt token and of an output token for each upstream, learned from its own
 * answers under their real load. An upstream without answers takes the times of
 * its generation. Without it, a slow engine looks as good as a fast one, gets
 * urgent work, and its answers come after their deadlines.
 *
 * Grounds: a gain of a fifth follows a slowdown within five answers, and is
 * steady enough that one odd answer moves an estimate by a fifth of its error.
 */
export class SpeedEstimator {
  readonly #seeds: Readonly<Record<string, TokenTimes>>;
  readonly #generationOf = new Map<UpstreamId, string>();
  readonly #upstreams = new Map<UpstreamId, LearnedTimes>();
  readonly #generations = new Map<string, LearnedTimes>();

  constructor({ initialTimes: seeds = {} }: SpeedEstimatorOptions = {}) {
    this.#seeds = seeds;
  }

  /** Makes an upstream known; its generation seeds its times. */
  register(upstream: UpstreamId, generation: string): void {
    this.#generationOf.set(upstream, generation);
  }

  /** Forgets an upstream that is gone. */
  remove(upstream: UpstreamId): void {
    this.#generationOf.delete(upstream);
    this.#upstreams.delete(upstream);
  }

  /** The present times of one upstream. */
  times(upstream: UpstreamId): TokenTimes {
    const learned = this.#upstreams.get(upstream);
    if (learned !== undefined && isComplete(learned)) return learned;
    return { ...this.#generationTimes(upstream), ...learned };
  }

  /** Takes in a first token. */
  observeFirstToken(
    { upstream, backlogTokens, elapsed }: FirstTokenObservation,
  ): void {
    if (backlogTokens < MINIMUM_PREFILL_TOKENS) return;
    this.#learn(upstream, "prefillMsPerToken", elapsed / backlogTokens);
  }

  /** Takes in the pace of an answer. */
  observeDecode(
    { upstream, outputTokens, elapsed, inFlight }: DecodeObservation,
  ): void {
    if (outputTokens < MINIMUM_OUTPUT_TOKENS) return;
    this.#learn(upstream, "decodeMsPerToken", elapsed / (outputTokens - 1));
    this.#learn(upstream, "typicalInFlight", inFlight);
  }

  #learn(
    upstream: UpstreamId,
    figure: keyof TokenTimes,
    sample: number,
  ): void {
    const own = this.#upstreams.get(upstream) ?? {};
    this.#upstreams.set(upstream, own);
    own[figure] = moved(
      own[figure] ?? this.#generationTimes(upstream)[figure],
      sample,
      UPSTREAM_GAIN,
    );
    const generation = this.#generationOf.get(upstream);
    if (generation === undefined) return;
    const shared = this.#generations.get(generation) ?? {};
    this.#generations.set(generation, shared);
    // The first answer of a generation is the best figure there is.
    shared[figure] = shared[figure] === undefined
      ? sample
      : moved(shared[figure], sample, GENERATION_GAIN);
  }

  #generationTimes(upstream: UpstreamId): TokenTimes {
    return this.generationTimes(this.#generationOf.get(upstream) ?? "");
  }

  /** Whether an upstream of the generation has given a whole answer. */
  isKnown(generation: string): boolean {
    return this.#seeds[generation] !== undefined ||
      this.#generations.get(generation)?.decodeMsPerToken !== undefined;
  }

  /** The mean times of a generation. */
  generationTimes(generation: string): TokenTimes {
    const learned = this.#generations.get(generation);
    if (learned !== undefined && isComplete(learned)) return learned;
    const seed = this.#seeds[generation] ?? DEFAULT_TIMES;
    return { ...seed, ...learned };
  }
}

type LearnedTimes = { -readonly [Figure in keyof TokenTimes]?: number };

function isComplete(times: LearnedTimes): times is TokenTimes {
  return times.prefillMsPerToken !== undefined &&
    times.decodeMsPerToken !== undefined &&
    times.typicalInFlight !== undefined;
}

function moved(former: number, sample: number, gain: number): number {
  return former + gain * (sample - former);
}
