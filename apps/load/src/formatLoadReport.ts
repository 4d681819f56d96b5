import type { LoadReport, Percentiles, TierReport } from "./loadReport.ts";

type Row = readonly string[];

const HEADER: Row = [
  "tier",
  "offered",
  "whole",
  "not run",
  "unknown",
  "cut",
  "crossed",
  "first token p50/p99 ms",
  "between p50/p99 ms",
  "whole p50/p99 ms",
];

/** Formats a report as a table, followed by the problem types of each tier. */
export function formatLoadReport(report: LoadReport): string[] {
  const { pattern, seed, offered, resends, elapsedMs } = report;
  const tiers = Object.entries(report.tiers);
  const seconds = (elapsedMs / 1_000).toFixed(1);
  return [
    `Pattern ${pattern}, seed ${seed}: ${offered} calls in ${seconds} s, ${resends} resends`,
    ...alignRows([
      HEADER,
      ...tiers.map(([tier, tierReport]) => createRow(tier, tierReport)),
    ]),
    ...tiers.flatMap(([tier, tierReport]) => formatReasons(tier, tierReport)),
  ];
}

function createRow(tier: string, report: TierReport): Row {
  return [
    tier,
    String(report.offered),
    String(report.whole),
    String(sumCounts(report.notRun)),
    String(sumCounts(report.unknown)),
    String(report.cut),
    String(report.crossed),
    formatLatency(report.firstTokenMs),
    formatLatency(report.betweenTokensMs),
    formatLatency(report.wholeMs),
  ];
}

function formatReasons(tier: string, report: TierReport): string[] {
  const reasons = [
    ...Object.entries(report.notRun).map(([type, count]) =>
      `${type} ${count} (not run)`
    ),
    ...Object.entries(report.unknown).map(([type, count]) =>
      `${type} ${count} (unknown)`
    ),
  ];
  return reasons.length === 0 ? [] : [`tier ${tier}: ${reasons.join(", ")}`];
}

function formatLatency({ count, p50, p99 }: Percentiles): string {
  return count === 0 ? "-" : `${p50.toFixed(1)} / ${p99.toFixed(1)}`;
}

function alignRows(rows: readonly Row[]): string[] {
  const widths = HEADER.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padStart(widths[column]!)).join("  ")
  );
}

function sumCounts(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
