import type { Random } from "@wasabivane/common";

/** What traffic is like at one moment. */
export interface TrafficShape {
  /** Arrivals as a multiple of the usual rate. */
  readonly rateFactor: number;
  /** Share of the requests that come from the first account alone. */
  readonly hotAccountShare: number;
  /** Share of the requests with a long prompt and a long answer. */
  readonly longShare: number;
}

/** Traffic over a run; `progress` goes from 0 to 1. */
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
const LONG_AMONG_SHORT: TrafficShape = { ...STEADY, longShare: 0.15 };
const OVERLOAD: TrafficShape = { ...STEADY, rateFactor: 2 };

const BURST_START = 0.4;
const BURST_END = 0.5;
const MIXED_SEGMENTS = 6;

/** How each pattern is made; the random source decides about `mixed` only. */
export const PATTERNS = {
  /** The usual rate all along. */
  "steady": (): Pattern => () => STEADY,
  /** Six times the rate for a tenth of the run. */
  "burst": (): Pattern => (progress) =>
    progress >= BURST_START && progress < BURST_END ? BURST : STEADY,
  /** One account sends four of five requests. */
  "hot-account": (): Pattern => () => HOT_ACCOUNT,
  /** Every seventh request is many times as long as the others. */
  "long-among-short": (): Pattern => () => LONG_AMONG_SHORT,
  /** Twice the usual rate, which should be what the fleet can carry. */
  "overload": (): Pattern => () => OVERLOAD,
  /** Several of these, one after the other. */
  "mixed": (random: Random): Pattern => {
    const shapes = [STEADY, BURST, HOT_ACCOUNT, LONG_AMONG_SHORT, OVERLOAD];
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

/** Name of one entry of {@link PATTERNS}. */
export type PatternName = keyof typeof PATTERNS;

/** The greatest `rateFactor` of any pattern. */
export const MAXIMUM_RATE_FACTOR = 6;

/** Whether a text names a pattern. */
export function isPatternName(name: string): name is PatternName {
  return Object.hasOwn(PATTERNS, name);
}
