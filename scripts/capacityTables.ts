/**
 * Writes the tables of docs/CAPACITY.md from the measured slopes in
 * docs/slopes.json. To measure the slopes and update the page, run
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

const PAGE_FILE = fileURLToPath(
  new URL("../docs/CAPACITY.md", import.meta.url),
);
const SLOPES_FILE = fileURLToPath(
  new URL("../docs/slopes.json", import.meta.url),
);
const SIGNIFICANT_DIGITS = 4;

/** Reads the measured slopes from docs/slopes.json. */
export function readSlopes(): Slope[] {
  const text = readFileSync(SLOPES_FILE, "utf8");
  return (JSON.parse(text) as { slopes: Slope[] }).slopes;
}

/** Reads docs/CAPACITY.md. */
export function readCapacityPage(): string {
  return readFileSync(PAGE_FILE, "utf8");
}

/** Replaces the generated tables of the page. */
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
    (text, [name, rows]) =>
      replaceTable(text, { name, table: formatTable(rows) }),
    page,
  );
}

function slopeRows(slopes: readonly Slope[]): TableRow[] {
  const header = [
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
  return [header, ...slopes.map(slopeRow)];
}

function slopeRow(slope: Slope): TableRow {
  const { fit, points } = slope;
  const [first, last] = [points[0]!, points.at(-1)!];
  const fitLine = `${formatFigure(fit.intercept)} + ${
    formatFigure(fit.slope)
  } x`;
  return [
    `\`${slope.name}\``,
    slope.unit,
    slope.per,
    `${points.length} from ${formatFigure(first[0])} to ${
      formatFigure(last[0])
    }`,
    fit.fromX === 0 ? fitLine : `${fitLine}, x ≥ ${fit.fromX}`,
    slope.r2.toFixed(3),
    `${(fit.residual * 100).toFixed(1)} %`,
    `${formatFigure(slope.atTarget)} at x = ${formatFigure(slope.targetX)}`,
    slope.budget === null ? "" : formatFigure(slope.budget),
    slope.holds === null ? "" : slope.holds ? "yes" : "**no**",
  ];
}

/** Formats a number with four significant digits, or as an integer if larger. */
export function formatFigure(value: number): string {
  if (Math.abs(value) >= 10 ** SIGNIFICANT_DIGITS) {
    return Math.round(value).toLocaleString("en-US");
  }
  return String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

function replaceTable(
  text: string,
  { name, table }: { name: string; table: string },
): string {
  const begin = `<!-- ${name}: begin -->`;
  const end = `<!-- ${name}: end -->`;
  const [beginAt, endAt] = [text.indexOf(begin), text.indexOf(end)];
  if (beginAt < 0 || endAt < beginAt) {
    throw new Error(`The page has no markers for table "${name}"`);
  }
  return `${text.slice(0, beginAt + begin.length)}\n\n${table}\n\n${
    text.slice(endAt)
  }`;
}

function formatTable([header, ...rows]: readonly TableRow[]): string {
  const separator = header!.map(() => "---");
  return [header!, separator, ...rows].map((cells) =>
    `| ${cells.join(" | ")} |`
  )
    .join("\n");
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  writeFileSync(
    PAGE_FILE,
    renderCapacityPage(readCapacityPage(), readSlopes()),
  );
}
