import type { Milliseconds } from "@wasabivane/common";
import { build, type Histogram } from "hdr-histogram-js";
import type { CallOutcome } from "./sendAttempt.ts";
import type { PatternName } from "./pattern.ts";
import type { TokenLatency } from "./tokenLatencyRecorder.ts";

/** Percentiles of one kind of time, in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: Milliseconds;
  readonly p95: Milliseconds;
  readonly p99: Milliseconds;
  readonly maximum: Milliseconds;
}

/** What the callers of one tier received. */
export interface TierReport {
  readonly offered: number;
  readonly whole: number;
  /** Refused and not run, by problem type. */
  readonly notRun: Readonly<Record<string, number>>;
  /** Ended unknown, by problem type, or `connection-broken`. */
  readonly unknown: Readonly<Record<string, number>>;
  /** Parts that looked whole; anything above zero is a fault. */
  readonly cut: number;
  /** Answers with another call's content; anything above zero is a fault. */
  readonly crossed: number;
  readonly firstTokenMs: Percentiles;
  readonly betweenTokensMs: Percentiles;
  readonly wholeMs: Percentiles;
}

/** Result of one run of the load tool. */
export interface LoadReport {
  readonly pattern: PatternName;
  readonly seed: number;
  /** Time from the first arrival to the last ending. */
  readonly elapsedMs: Milliseconds;
  readonly offered: number;
  /** Resends after broken connections. */
  readonly resends: number;
  readonly tiers: Readonly<Record<string, TierReport>>;
}

const MICROSECONDS = 1_000;
const BROKEN_TYPE = "connection-broken";

/** Whether a caller got a part for the whole, or another call's content. */
export function hasIntegrityFault({ tiers }: LoadReport): boolean {
  return Object.values(tiers).some(({ cut, crossed }) => cut + crossed > 0);
}

/** Counts the endings of one tier. */
export class TierStats {
  offered = 0;
  readonly #counts = { whole: 0, cut: 0, crossed: 0 };
  readonly #notRun = new Map<string, number>();
  readonly #unknown = new Map<string, number>();
  readonly #firstToken = build();
  readonly #betweenTokens = build();
  readonly #whole = build();

  recordTokenLatency({ isFirst, ms }: TokenLatency): void {
    record(isFirst ? this.#firstToken : this.#betweenTokens, ms);
  }

  recordOutcome(ending: CallOutcome, elapsedMs: Milliseconds): void {
    if (ending.kind === "problem") {
      const { type, ending: truth } = ending.problem;
      increment(truth === "not-run" ? this.#notRun : this.#unknown, type);
    } else if (ending.kind === "broken") increment(this.#unknown, BROKEN_TYPE);
    else this.#counts[ending.kind]++;
    if (ending.kind === "whole") record(this.#whole, elapsedMs);
  }

  createReport(): TierReport {
    return {
      offered: this.offered,
      ...this.#counts,
      notRun: Object.fromEntries(this.#notRun),
      unknown: Object.fromEntries(this.#unknown),
      firstTokenMs: percentilesOf(this.#firstToken),
      betweenTokensMs: percentilesOf(this.#betweenTokens),
      wholeMs: percentilesOf(this.#whole),
    };
  }
}

function record(histogram: Histogram, ms: Milliseconds): void {
  histogram.recordValue(Math.max(0, Math.round(ms * MICROSECONDS)));
}

function percentilesOf(histogram: Histogram): Percentiles {
  const at = (percentile: number): Milliseconds =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  return {
    count: histogram.totalCount,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    maximum: at(100),
  };
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
