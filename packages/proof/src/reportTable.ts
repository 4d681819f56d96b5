import type { ExperimentResult } from "./experimentPolicies.ts";
import { weightedSum } from "./experimentStats.ts";

const COLUMNS = [
  "policy",
  "tier 1",
  "tier 2",
  "tier 3",
  "tier 4",
  "weighted",
  "refused",
  "wasted",
  "inversions",
];
const COLUMN_WIDTH = 17;

/** Formats a result as a text table, with goodput as a share of the bound. */
export function formatTable(
  { pattern, deployment, seed, policies, bound }: ExperimentResult,
): string {
  const tiers = Object.keys(bound.goodputByTier);
  const boundRow = [
    "bound",
    ...tiers.map((tier) => bound.goodputByTier[tier]!.toFixed(1)),
    bound.weightedGoodput.toFixed(1),
  ];
  const rows = Object.entries(policies).map(([name, result]) => [
    name,
    ...tiers.map((tier) =>
      formatShare(result.goodputByTier[tier]!, bound.goodputByTier[tier]!)
    ),
    formatShare(weightedSum(result.goodputByTier), bound.weightedGoodput),
    String(sum(result.refusedByTier)),
    formatPercent(result.wastedPrefillTokens, result.prefillTokens),
    String(result.tierInversions),
  ]);
  return [
    `${pattern} ${deployment} seed ${seed}`,
    ...[COLUMNS, boundRow, ...rows].map(formatRow),
  ].join("\n");
}

function formatRow(cells: readonly string[]): string {
  return cells.map((cell) => cell.padEnd(COLUMN_WIDTH)).join("").trimEnd();
}

function formatShare(value: number, bound: number): string {
  return `${value} (${formatPercent(value, bound)})`;
}

function formatPercent(value: number, total: number): string {
  return `${(100 * value / Math.max(1, total)).toFixed(1)}%`;
}

function sum(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
