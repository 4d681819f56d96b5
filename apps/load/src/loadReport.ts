import type { Milliseconds } from "@wasabivane/common";
import { build, type Histogram } from "hdr-histogram-js";
import type { CallOutcome } from "./sendAttempt.ts";
import type { PatternName } from "./pattern.ts";
import type { TokenLatency } from "./tokenLatencyRecorder.ts";

/** Percentiles of a latency distribution. */
export interface Percentiles {
  readonly count: number;
  readonly p50: Milliseconds;
  readonly p95: Milliseconds;
  readonly p99: Milliseconds;
  readonly maximum: Milliseconds;
}

/** Outcomes and latencies of the calls of one tier. */
export interface TierReport {
  readonly offered: number;
  readonly whole: number;
  /** Calls that were refused and did not run, by problem type. */
  readonly notRun: Readonly<Record<string, number>>;
  /** Calls with an unknown outcome, by problem type or `connection-broken`. */
  readonly unknown: Readonly<Record<string, number>>;
  /** Incomplete responses that ended without an error; any is a fault. */
  readonly cut: number;
  /** Responses with another call's content; any is a fault. */
  readonly crossed: number;
  readonly firstTokenMs: Percentiles;
  readonly betweenTokensMs: Percentiles;
  /** Time to a complete response. */
  readonly wholeMs: Percentiles;
}

/** Result of one run of the load tool. */
export interface LoadReport {
  readonly pattern: PatternName;
  readonly seed: number;
  /** Time from the start of the run to its last outcome. */
  readonly elapsedMs: Milliseconds;
  readonly offered: number;
  /** Resends after broken connections. */
  readonly resends: number;
  readonly tiers: Readonly<Record<string, TierReport>>;
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const BROKEN_TYPE = "connection-broken";

/** Whether any response was cut or crossed. */
export function hasIntegrityFault({ tiers }: LoadReport): boolean {
  return Object.values(tiers).some(({ cut, crossed }) => cut + crossed > 0);
}

/** Collects the outcomes and latencies of one tier. */
export class TierStats {
  offered = 0;
  readonly #counts = { whole: 0, cut: 0, crossed: 0 };
  readonly #notRun = new Map<string, number>();
  readonly #unknown = new Map<string, number>();
  readonly #firstToken = build();
  readonly #betweenTokens = build();
  readonly #complete = build();

  recordTokenLatency({ isFirst, ms }: TokenLatency): void {
    record(isFirst ? this.#firstToken : this.#betweenTokens, ms);
  }

  recordOutcome(outcome: CallOutcome, elapsedMs: Milliseconds): void {
    if (outcome.kind === "problem") {
      const { type, ending } = outcome.problem;
      increment(ending === "not-run" ? this.#notRun : this.#unknown, type);
    } else if (outcome.kind === "broken") increment(this.#unknown, BROKEN_TYPE);
    else this.#counts[outcome.kind]++;
    if (outcome.kind === "whole") record(this.#complete, elapsedMs);
  }

  createReport(): TierReport {
    return {
      offered: this.offered,
      ...this.#counts,
      notRun: Object.fromEntries(this.#notRun),
      unknown: Object.fromEntries(this.#unknown),
      firstTokenMs: computePercentiles(this.#firstToken),
      betweenTokensMs: computePercentiles(this.#betweenTokens),
      wholeMs: computePercentiles(this.#complete),
    };
  }
}

function record(histogram: Histogram, ms: Milliseconds): void {
  histogram.recordValue(
    Math.max(0, Math.round(ms * MICROSECONDS_PER_MILLISECOND)),
  );
}

function computePercentiles(histogram: Histogram): Percentiles {
  const at = (percentile: number): Milliseconds =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
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
