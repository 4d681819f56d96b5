#!/usr/bin/env node
import { readFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { formatDocumentError } from "@wasabivane/bundle";
import { SystemTimer } from "@wasabivane/common";
import { type LoadFlags, readLoadSettings } from "./loadFlags.ts";
import { resolveLoadOptions } from "./resolveLoadOptions.ts";
import { hasIntegrityFault } from "./loadReport.ts";
import { PATTERNS } from "./pattern.ts";
import { ProgressLine } from "./progressLine.ts";
import { formatLoadReport } from "./formatLoadReport.ts";
import { type LoadOptions, runLoad } from "./runLoad.ts";

/** Exit code when any response was cut or crossed. */
const EXIT_FAULT = 1;
const EXIT_USAGE = 2;
const PACKAGE_FILE = new URL("../package.json", import.meta.url);

function exitWithError(code: number, lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`${line}\n`);
  process.exit(code);
}

function readOptions(flags: LoadFlags): LoadOptions {
  const settings = readLoadSettings(flags);
  if (settings.isErr()) {
    exitWithError(EXIT_USAGE, settings.error.map(formatDocumentError));
  }
  const options = resolveLoadOptions(settings.value);
  if (options.isErr()) exitWithError(EXIT_USAGE, [options.error.detail]);
  return options.value;
}

async function run(flags: LoadFlags): Promise<void> {
  const options = readOptions(flags);
  const progress = new ProgressLine({
    timer: new SystemTimer(),
    write: (text) => process.stderr.write(text),
  });
  const report = await runLoad({
    ...options,
    onProgress: process.stderr.isTTY
      ? (now): void => progress.show(now)
      : undefined,
  });
  progress.clear();
  const lines = flags.json
    ? [JSON.stringify(report)]
    : formatLoadReport(report);
  for (const line of lines) process.stdout.write(`${line}\n`);
  process.exitCode = hasIntegrityFault(report) ? EXIT_FAULT : 0;
}

function check(flags: LoadFlags): void {
  readOptions(flags);
  process.stdout.write("The settings are valid\n");
}

const program = cac("wasabivane-load");
program
  .option("--settings <file>", "Settings file, JSON with comments")
  .option("--entry <url>", "Caller port of an entry; may be repeated")
  .option("--deployment <name>", "Use the accounts of an example bundle")
  .option("--pattern <name>", Object.keys(PATTERNS).join(", "))
  .option("--seed <number>", "Fixes arrivals, lengths and callers")
  .option("--duration <seconds>", "Duration over which calls are sent")
  .option(
    "--rate <number>",
    "Base rate in calls per second, scaled by the pattern",
  )
  .option("--deadline <ms>", "Deadline of every call")
  .option("--json", "Print one JSON object");
program.command("", "Send load and report what callers received").action(run);
program.command("check", "Check the settings without sending").action(check);
program.help();
program.version(JSON.parse(readFileSync(PACKAGE_FILE, "utf8")).version);

try {
  program.parse(process.argv, { run: false });
  await program.runMatchedCommand();
} catch (error) {
  exitWithError(EXIT_USAGE, [(error as Error).message]);
}
