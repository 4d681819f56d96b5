import { cac } from "cac";
import { formatDocumentError, readDocument } from "@wasabivane/bundle";
import {
  type CommandOutput,
  type CommandReport,
  EXIT_FINDINGS,
  EXIT_OK,
  getRequiredTextOption,
  type ParsedOptions,
  runCommandLine,
} from "@wasabivane/common";
import { settingsSchema } from "./settings.ts";
import { startEntry } from "./startEntry.ts";

/** Options of {@link runEntryProgram}. */
export interface EntryProgramOptions {
  readonly argv: readonly string[];
  readonly output: CommandOutput;
  readonly version: string;
  /** Resolves when the daemon should stop. */
  readonly whenStopped: () => Promise<unknown>;
}

/**
 * Runs `wasabivane-entry`; returns 0 on success, 1 if not started, 2 on misuse.
 */
export function runEntryProgram(run: EntryProgramOptions): Promise<number> {
  const { argv, output, version } = run;
  const cli = cac("wasabivane-entry");
  cli.option("--settings <file>", "Settings file, JSON with comments");
  cli.option("--json", "Print one JSON document for programs");
  cli.command("", "Run an entry host")
    .action((options: ParsedOptions) => serve(settingsFileOf(options), run));
  cli.command("check", "Check the settings without starting")
    .action((options: ParsedOptions) => check(settingsFileOf(options)));
  cli.help();
  cli.version(version);
  return runCommandLine(cli, { argv, output });
}

function settingsFileOf(options: ParsedOptions): string {
  return getRequiredTextOption(options, "settings");
}

function check(file: string): CommandReport {
  const settings = readDocument(file, settingsSchema);
  if (settings.isErr()) {
    return {
      exitCode: EXIT_FINDINGS,
      data: { errors: settings.error },
      lines: settings.error.map(formatDocumentError),
    };
  }
  return {
    exitCode: EXIT_OK,
    data: { errors: [] },
    lines: [`${file}: The settings are valid`],
  };
}

async function serve(
  file: string,
  { output, whenStopped }: EntryProgramOptions,
): Promise<CommandReport> {
  const settings = readDocument(file, settingsSchema);
  if (settings.isErr()) {
    return notStarted(output, settings.error.map(formatDocumentError));
  }
  const started = await startEntry(settings.value);
  if (started.isErr()) return notStarted(output, [started.error.detail]);
  const { host } = settings.value;
  const { ports, daemon, stop } = started.value;
  output.write(`${JSON.stringify({ host, ...ports })}\n`);
  await Promise.race([whenStopped(), daemon.whenDrained]);
  await daemon.drain();
  await stop();
  return printed(EXIT_OK);
}

function notStarted(
  output: CommandOutput,
  lines: readonly string[],
): CommandReport {
  for (const line of lines) output.writeError(`${line}\n`);
  return printed(EXIT_FINDINGS);
}

function printed(exitCode: number): CommandReport {
  return { exitCode, data: undefined, lines: [], isPrinted: true };
}
