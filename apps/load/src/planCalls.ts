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

/** A client account as the load tool plays it. */
export interface Caller {
  readonly account: string;
  readonly apiKey: string;
  readonly tiers: readonly Tier[];
}

/** What the calls ask for. */
export type CallKind = "streamed" | "whole" | "plain";

/** One request of a run, fixed by the seed. */
export interface PlannedCall {
  readonly index: number;
  /** From the start of the run. */
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
  /** The usual rate, which patterns multiply. */
  readonly requestsPerSecond: number;
  readonly callers: readonly Caller[];
  /** Share of calls to plain services. */
  readonly plainShare: number;
  /** Share of completions that are not streamed. */
  readonly wholeShare: number;
}

/** Log-normal lengths; together they spread over a hundredfold. */
const PROMPT_TOKENS = { median: 120, sigma: 1.1, maximum: 16_000 };
const OUTPUT_TOKENS = { median: 60, sigma: 0.8, maximum: 2_000 };
const LONG_FACTOR = 20;
const LONG_OUTPUT_FACTOR = 4;
const SECOND = 1_000;

/** Every call of an open-loop run: arrivals do not wait for answers. */
export function planCalls(options: PlanOptions): PlannedCall[] {
  const random = new SeededRandom(options.seed);
  const pattern = PATTERNS[options.pattern](random);
  const maximumRate = options.requestsPerSecond * MAXIMUM_RATE_FACTOR;
  const calls: PlannedCall[] = [];
  let at = random.exponential(SECOND / maximumRate);
  while (at < options.durationMs) {
    const shape = pattern(at / options.durationMs);
    // Thinning: arrivals at the greatest rate, each kept with its share of it.
    const isKept = random.float() < shape.rateFactor / MAXIMUM_RATE_FACTOR;
    if (isKept) {
      calls.push({
        index: calls.length,
        arrivalOffset: at,
        ...drawCall(random, { shape, options }),
      });
    }
    at += random.exponential(SECOND / maximumRate);
  }
  return calls;
}

function drawCall(
  random: Random,
  { shape, options }: { shape: TrafficShape; options: PlanOptions },
): Omit<PlannedCall, "index" | "arrivalOffset"> {
  const isHot = random.float() < shape.hotAccountShare;
  const caller = isHot ? options.callers[0]! : random.pick(options.callers);
  const isLong = random.float() < shape.longShare;
  return {
    caller,
    tier: random.pick(caller.tiers),
    kind: drawKind(random, options),
    promptTokens: drawLength(random, {
      ...PROMPT_TOKENS,
      factor: isLong ? LONG_FACTOR : 1,
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
