#!/usr/bin/env node
import process from "node:process";
import { cac } from "cac";
import { type DocumentError, readDocument } from "@wasabivane/bundle";
import { type Settings, settingsSchema } from "./settings.ts";
import { startEntry } from "./startEntry.ts";
import { VERSION } from "./version.ts";

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

function readSettings(file: string | undefined): Settings {
  if (file === undefined) {
    process.stderr.write("Name a settings file with --settings FILE\n");
    process.exit(EXIT_USAGE);
  }
  const settings = readDocument(file, settingsSchema);
  if (settings.isOk()) return settings.value;
  for (const error of settings.error) {
    process.stderr.write(`${describe(error)}\n`);
  }
  process.exit(EXIT_FAILURE);
}

function describe(
  { file, line, path, message, allowed }: DocumentError,
): string {
  return `${file}:${line}: ${path}: ${message} (allowed: ${allowed})`;
}

async function run(options: { settings?: string }): Promise<void> {
  const settings = readSettings(options.settings);
  const started = await startEntry(settings);
  if (started.isErr()) {
    process.stderr.write(`${started.error.detail}\n`);
    process.exit(EXIT_FAILURE);
  }
  const { stop: stopEntry, ports } = started.value;
  process.stdout.write(
    `${JSON.stringify({ host: settings.host, ...ports })}\n`,
  );
  const stop = (): void => {
    void stopEntry().then(() => process.exit(0));
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

function check(options: { settings?: string }): void {
  readSettings(options.settings);
  process.stdout.write("The settings are valid\n");
}

const program = cac("wasabivane-entry");
program.option("--settings <file>", "Settings file, JSON with comments");
program.command("", "Run an entry host").action(run);
program.command("check", "Check the settings without starting").action(check);
program.help();
program.version(VERSION);

try {
  program.parse(process.argv, { run: false });
  await program.runMatchedCommand();
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`);
  process.exit(EXIT_USAGE);
}
