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

/** A result as a table for a terminal; goodput with its share of the bound. */
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
      withShare(result.goodputByTier[tier]!, bound.goodputByTier[tier]!)
    ),
    withShare(weightedSum(result.goodputByTier), bound.weightedGoodput),
    String(weightless(result.refusedByTier)),
    percent(result.wastedPrefillTokens, result.prefillTokens),
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

function withShare(value: number, bound: number): string {
  return `${value} (${percent(value, bound)})`;
}

function percent(value: number, whole: number): string {
  return `${(100 * value / Math.max(1, whole)).toFixed(1)}%`;
}

function weightless(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
