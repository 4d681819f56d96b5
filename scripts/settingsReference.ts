/**
 * Writes the settings reference in docs/OPERATIONS.md from the schemas. Run it
 * with
 * `npx tsx --conditions=source scripts/settingsReference.ts && npx deno fmt`.
 */
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  bundleSchema,
  describeSettings,
  operatorSettingsSchema,
  type SettingDescription,
} from "@wasabivane/bundle";
import { settingsSchema } from "../apps/entry/src/settings.ts";
import { SETTING_MEANINGS } from "./settingMeanings.ts";

const BEGIN_MARKER = "<!-- settings reference: begin -->";
const END_MARKER = "<!-- settings reference: end -->";
const GUIDE_FILE = fileURLToPath(
  new URL("../docs/OPERATIONS.md", import.meta.url),
);

const SECTIONS = [
  { title: "`wasabivane-entry`", schema: settingsSchema },
  { title: "`wasabivane-ctl`", schema: operatorSettingsSchema },
  { title: "Bundle", schema: bundleSchema },
];

/** Renders the settings reference as Markdown. */
export function renderSettingsReference(): string {
  return SECTIONS.map(({ title, schema }) =>
    `### ${title}\n\n${formatTable(describeSettings(schema))}`
  ).join("\n\n");
}

/** Reads the settings reference from docs/OPERATIONS.md. */
export function readSettingsReference(): string {
  const guide = readFileSync(GUIDE_FILE, "utf8");
  const start = guide.indexOf(BEGIN_MARKER) + BEGIN_MARKER.length;
  return guide.slice(start, guide.indexOf(END_MARKER)).trim();
}

/** Writes the rendered settings reference to docs/OPERATIONS.md. */
function writeSettingsReference(): void {
  const guide = readFileSync(GUIDE_FILE, "utf8");
  const before = guide.slice(
    0,
    guide.indexOf(BEGIN_MARKER) + BEGIN_MARKER.length,
  );
  const after = guide.slice(guide.indexOf(END_MARKER));
  writeFileSync(
    GUIDE_FILE,
    `${before}\n\n${renderSettingsReference()}\n\n${after}`,
  );
}

function formatTable(rows: readonly SettingDescription[]): string {
  const lines = rows.map((row) =>
    `| ${
      [`\`${row.path}\``, row.allowed, defaultOf(row), meaningOf(row)].join(
        " | ",
      )
    } |`
  );
  const header =
    "| Key | Allowed | Default | Meaning |\n| --- | --- | --- | --- |";
  return [header, ...lines].join("\n");
}

function defaultOf({ isRequired, defaultText }: SettingDescription): string {
  if (defaultText !== undefined) return `\`${defaultText}\``;
  return isRequired ? "required" : "none";
}

function meaningOf({ path }: SettingDescription): string {
  return SETTING_MEANINGS[path] ?? "";
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  writeSettingsReference();
}
