import type { Random } from "@wasabivane/common";

/** Traffic parameters at one moment of a run. */
export interface TrafficShape {
  /** Arrival rate as a multiple of the base rate. */
  readonly rateFactor: number;
  /**
   * Share of the requests that the first account sends on top of its usual
   * ones.
   */
  readonly hotAccountShare: number;
  /** Share of the requests with a long prompt and a long response. */
  readonly longShare: number;
}

/** Maps the progress of a run, from 0 to 1, to its traffic. */
export type Pattern = (progress: number) => TrafficShape;

const STEADY: TrafficShape = {
  rateFactor: 1,
  hotAccountShare: 0,
  longShare: 0.02,
};
const BURST: TrafficShape = { ...STEADY, rateFactor: 6 };
const HOT_ACCOUNT: TrafficShape = {
  ...STEADY,
  rateFactor: 1.5,
  hotAccountShare: 0.8,
};
const MIXED_LENGTHS: TrafficShape = { ...STEADY, longShare: 0.15 };
const OVERLOAD: TrafficShape = { ...STEADY, rateFactor: 2 };

const BURST_START = 0.4;
const BURST_END = 0.5;
const MIXED_SEGMENTS = 6;

/** Creates each pattern by name; only `mixed` uses the random source. */
export const PATTERNS = {
  /** The base rate throughout. */
  "steady": (): Pattern => () => STEADY,
  /** A burst above the base rate in the middle of the run. */
  "burst": (): Pattern => (progress) =>
    progress >= BURST_START && progress < BURST_END ? BURST : STEADY,
  /** One account sends most of the requests. */
  "hot-account": (): Pattern => () => HOT_ACCOUNT,
  /** Some requests are many times as long as the others. */
  "long-among-short": (): Pattern => () => MIXED_LENGTHS,
  /** Twice the base rate; set the base rate to the capacity of the fleet. */
  "overload": (): Pattern => () => OVERLOAD,
  /** A random sequence of the other patterns. */
  "mixed": (random: Random): Pattern => {
    const shapes = [STEADY, BURST, HOT_ACCOUNT, MIXED_LENGTHS, OVERLOAD];
    const segments = Array.from(
      { length: MIXED_SEGMENTS },
      () => random.pick(shapes),
    );
    return (progress) =>
      segments[
        Math.min(
          MIXED_SEGMENTS - 1,
          Math.floor(progress * MIXED_SEGMENTS),
        )
      ]!;
  },
} as const satisfies Record<string, (random: Random) => Pattern>;

/** Name of a pattern in {@link PATTERNS}. */
export type PatternName = keyof typeof PATTERNS;

/** The greatest `rateFactor` of any pattern. */
export const MAXIMUM_RATE_FACTOR = 6;

/** Whether a string names a pattern. */
export function isPatternName(name: string): name is PatternName {
  return Object.hasOwn(PATTERNS, name);
}
