/**
 * Writes the tables of docs/CAPACITY.md from a run of the slopes:
 * `npm run --silent slopes -- --json > docs/slopes.json`, then
 * `npx tsx --conditions=source scripts/capacityTables.ts && npx deno fmt`.
 */
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";
import type { Slope } from "@wasabivane/proof";
import {
  capacityRows,
  controlCostRows,
  type TableRow,
} from "./capacityRows.ts";

const PAGE = fileURLToPath(new URL("../docs/CAPACITY.md", import.meta.url));
const SLOPES_FILE = fileURLToPath(
  new URL("../docs/slopes.json", import.meta.url),
);
const SHOWN_DIGITS = 4;

/** The slopes of the last run that was written down. */
export function readSlopes(): Slope[] {
  const text = readFileSync(SLOPES_FILE, "utf8");
  return (JSON.parse(text) as { slopes: Slope[] }).slopes;
}

/** The page as it stands. */
export function readCapacityPage(): string {
  return readFileSync(PAGE, "utf8");
}

/** The page with its tables made anew. */
export function renderCapacityPage(
  page: string,
  slopes: readonly Slope[],
): string {
  const tables: Record<string, TableRow[]> = {
    slopes: slopeRows(slopes),
    control: controlCostRows(slopes),
    target: capacityRows(slopes),
  };
  return Object.entries(tables).reduce(
    (text, [name, rows]) => replaced(text, { name, table: tableOf(rows) }),
    page,
  );
}

function slopeRows(slopes: readonly Slope[]): TableRow[] {
  const head = [
    "slope",
    "unit",
    "per",
    "measured",
    "line",
    "r²",
    "residual",
    "at target",
    "budget",
    "holds",
  ];
  return [head, ...slopes.map(slopeRow)];
}

function slopeRow(slope: Slope): TableRow {
  const { fit, points } = slope;
  const [first, last] = [points[0]!, points.at(-1)!];
  const line = `${formatFigure(fit.intercept)} + ${formatFigure(fit.slope)} x`;
  return [
    `\`${slope.name}\``,
    slope.unit,
    slope.per,
    `${points.length} from ${formatFigure(first[0])} to ${
      formatFigure(last[0])
    }`,
    fit.fromX === 0 ? line : `${line}, x ≥ ${fit.fromX}`,
    slope.r2.toFixed(3),
    `${(fit.residual * 100).toFixed(1)} %`,
    `${formatFigure(slope.atTarget)} at x = ${formatFigure(slope.targetX)}`,
    slope.budget === null ? "" : formatFigure(slope.budget),
    slope.holds === null ? "" : slope.holds ? "yes" : "**no**",
  ];
}

/** A figure with as many digits as it is worth. */
export function formatFigure(value: number): string {
  if (Math.abs(value) >= 10 ** SHOWN_DIGITS) {
    return Math.round(value).toLocaleString("en-US");
  }
  return String(Number(value.toPrecision(SHOWN_DIGITS)));
}

function replaced(
  text: string,
  { name, table }: { name: string; table: string },
): string {
  const begin = `<!-- ${name}: begin -->`;
  const end = `<!-- ${name}: end -->`;
  const [from, to] = [text.indexOf(begin), text.indexOf(end)];
  if (from < 0 || to < from) throw new Error(`The page has no table ${name}`);
  return `${text.slice(0, from + begin.length)}\n\n${table}\n\n${
    text.slice(to)
  }`;
}

function tableOf([head, ...rows]: readonly TableRow[]): string {
  const ruler = head!.map(() => "---");
  return [head!, ruler, ...rows].map((cells) => `| ${cells.join(" | ")} |`)
    .join("\n");
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  writeFileSync(PAGE, renderCapacityPage(readCapacityPage(), readSlopes()));
}
