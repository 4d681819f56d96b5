/**
 * Writes the settings reference in docs/OPERATIONS.md from the schemas:
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

const BEGIN = "<!-- settings reference: begin -->";
const END = "<!-- settings reference: end -->";
const GUIDE = fileURLToPath(new URL("../docs/OPERATIONS.md", import.meta.url));

const SECTIONS = [
  { title: "`wasabivane-entry`", schema: settingsSchema },
  { title: "`wasabivane-ctl`", schema: operatorSettingsSchema },
  { title: "Bundle", schema: bundleSchema },
];

/** The reference as Markdown. */
export function renderSettingsReference(): string {
  return SECTIONS.map(({ title, schema }) =>
    `### ${title}\n\n${tableOf(describeSettings(schema))}`
  ).join("\n\n");
}

/** The reference that the operators' guide holds now. */
export function readSettingsReference(): string {
  const guide = readFileSync(GUIDE, "utf8");
  const start = guide.indexOf(BEGIN) + BEGIN.length;
  return guide.slice(start, guide.indexOf(END)).trim();
}

/** Puts the reference into the operators' guide. */
function writeReference(): void {
  const guide = readFileSync(GUIDE, "utf8");
  const head = guide.slice(0, guide.indexOf(BEGIN) + BEGIN.length);
  const tail = guide.slice(guide.indexOf(END));
  writeFileSync(GUIDE, `${head}\n\n${renderSettingsReference()}\n\n${tail}`);
}

function tableOf(rows: readonly SettingDescription[]): string {
  const lines = rows.map((row) =>
    `| ${
      [`\`${row.path}\``, row.allowed, defaultOf(row), meaningOf(row)].join(
        " | ",
      )
    } |`
  );
  const head =
    "| Key | Allowed | Default | Meaning |\n| --- | --- | --- | --- |";
  return [head, ...lines].join("\n");
}

function defaultOf({ isRequired, defaultText }: SettingDescription): string {
  if (defaultText !== undefined) return `\`${defaultText}\``;
  return isRequired ? "required" : "none";
}

function meaningOf({ path }: SettingDescription): string {
  return SETTING_MEANINGS[path] ?? "";
}

if (process.argv[1] === fileURLToPath(import.meta.url)) writeReference();
