#!/usr/bin/env node
import { readFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { formatDocumentError, readDocument } from "@wasabivane/bundle";
import { type StandInSettings, standInSettingsSchema } from "./settings.ts";
import { startStandIns } from "./startStandIns.ts";

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
const PACKAGE_FILE = new URL("../package.json", import.meta.url);

interface Flags {
  readonly settings?: string;
}

function readSettings({ settings: file }: Flags): StandInSettings {
  if (file === undefined) {
    exitWith(EXIT_USAGE, ["Specify a settings file with --settings FILE"]);
  }
  const settings = readDocument(file, standInSettingsSchema);
  if (settings.isOk()) return settings.value;
  exitWith(EXIT_FAILURE, settings.error.map(formatDocumentError));
}

function exitWith(code: number, lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`${line}\n`);
  process.exit(code);
}

async function serve(flags: Flags): Promise<void> {
  const started = await startStandIns(readSettings(flags));
  if (started.isErr()) {
    const { name, detail } = started.error;
    exitWith(EXIT_FAILURE, [`Cannot start ${name}: ${detail}`]);
  }
  for (const { name, kind, url } of started.value) {
    process.stdout.write(`${JSON.stringify({ name, kind, url })}\n`);
  }
  const stop = (): void => {
    const stops = started.value.map(({ standIn }) => standIn.stop());
    void Promise.all(stops).then(() => process.exit(0));
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

function check(flags: Flags): void {
  readSettings(flags);
  process.stdout.write("The settings are valid\n");
}

const program = cac("wasabivane-stand-ins");
program.option("--settings <file>", "Settings file, JSON with comments");
program.command("", "Start engines, plain services and the platform")
  .action(serve);
program.command("check", "Check the settings without starting").action(check);
program.help();
program.version(JSON.parse(readFileSync(PACKAGE_FILE, "utf8")).version);

try {
  program.parse(process.argv, { run: false });
  await program.runMatchedCommand();
} catch (error) {
  exitWith(EXIT_USAGE, [(error as Error).message]);
}
