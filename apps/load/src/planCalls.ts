import {
  type Milliseconds,
  type Random,
  SeededRandom,
  type Tier,
} from "@wasabivane/common";
import {
  MAXIMUM_RATE_FACTOR,
  type PatternName,
  PATTERNS,
  type TrafficShape,
} from "./pattern.ts";

/** Client account that sends calls. */
export interface Caller {
  readonly account: string;
  readonly apiKey: string;
  readonly tiers: readonly Tier[];
}

/** Streamed completion, non-streamed (`whole`) completion or plain call. */
export type CallKind = "streamed" | "whole" | "plain";

/** One call of a run, determined by the seed. */
export interface PlannedCall {
  readonly index: number;
  /** Time since the start of the run. */
  readonly arrivalOffset: Milliseconds;
  readonly caller: Caller;
  readonly tier: Tier;
  readonly kind: CallKind;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Options of {@link planCalls}. */
export interface PlanOptions {
  readonly pattern: PatternName;
  readonly seed: number;
  readonly durationMs: Milliseconds;
  /** Base rate, scaled by the pattern. */
  readonly requestsPerSecond: number;
  /** The first one is the hot account of patterns that have one. */
  readonly callers: readonly Caller[];
  /** Share of calls to plain services. */
  readonly plainShare: number;
  /** Share of completions that are not streamed. */
  readonly wholeShare: number;
}

/** Log-normal distribution of the prompt length, cut off at the maximum. */
const PROMPT_TOKENS = { median: 120, sigma: 1.1, maximum: 16_000 };
/** Log-normal distribution of the output length, cut off at the maximum. */
const OUTPUT_TOKENS = { median: 60, sigma: 0.8, maximum: 2_000 };
const LONG_PROMPT_FACTOR = 20;
const LONG_OUTPUT_FACTOR = 4;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Plans the calls of an open-loop run, whose arrivals do not wait for
 * responses.
 */
export function planCalls(options: PlanOptions): PlannedCall[] {
  const random = new SeededRandom(options.seed);
  const pattern = PATTERNS[options.pattern](random);
  const maximumRate = options.requestsPerSecond * MAXIMUM_RATE_FACTOR;
  const calls: PlannedCall[] = [];
  let arrivalOffset = random.exponential(MILLISECONDS_PER_SECOND / maximumRate);
  while (arrivalOffset < options.durationMs) {
    const shape = pattern(arrivalOffset / options.durationMs);
    // Thins a Poisson process at the maximum rate to the rate of the pattern.
    const isKept = random.float() < shape.rateFactor / MAXIMUM_RATE_FACTOR;
    if (isKept) {
      calls.push({
        index: calls.length,
        arrivalOffset,
        ...drawCall(random, { shape, options }),
      });
    }
    arrivalOffset += random.exponential(MILLISECONDS_PER_SECOND / maximumRate);
  }
  return calls;
}

function drawCall(
  random: Random,
  { shape, options }: { shape: TrafficShape; options: PlanOptions },
): Omit<PlannedCall, "index" | "arrivalOffset"> {
  const isHotAccount = random.float() < shape.hotAccountShare;
  const caller = isHotAccount
    ? options.callers[0]!
    : random.pick(options.callers);
  const isLong = random.float() < shape.longShare;
  return {
    caller,
    tier: random.pick(caller.tiers),
    kind: drawKind(random, options),
    promptTokens: drawLength(random, {
      ...PROMPT_TOKENS,
      factor: isLong ? LONG_PROMPT_FACTOR : 1,
    }),
    outputTokens: drawLength(random, {
      ...OUTPUT_TOKENS,
      factor: isLong ? LONG_OUTPUT_FACTOR : 1,
    }),
  };
}

function drawKind(
  random: Random,
  { plainShare, wholeShare }: PlanOptions,
): CallKind {
  if (random.float() < plainShare) return "plain";
  return random.float() < wholeShare ? "whole" : "streamed";
}

function drawLength(
  random: Random,
  { median, sigma, maximum, factor }: typeof PROMPT_TOKENS & { factor: number },
): number {
  const length = factor * median * Math.exp(sigma * random.normal());
  return Math.max(1, Math.min(maximum, Math.round(length)));
}
