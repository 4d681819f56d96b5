/** Exit code of a command that succeeded. */
export const EXIT_OK = 0;
/** Exit code of a command that ran and reports problems. */
export const EXIT_FINDINGS = 1;
/** Exit code for an invalid command line. */
export const EXIT_USAGE = 2;
/** Exit code for an internal error, `EX_SOFTWARE` of sysexits. */
export const EXIT_INTERNAL = 70;

/** Holds the result of a command: `data` as JSON, `lines` as readable text. */
export interface CommandReport {
  readonly exitCode: number;
  readonly data: unknown;
  readonly lines: readonly string[];
  /** Whether the command has already printed its output, as in watch mode. */
  readonly isPrinted?: boolean;
}

/** Writes to the standard output and error streams. */
export interface CommandOutput {
  write(text: string): void;
  writeError(text: string): void;
}

/** Describes the part of cac's `CAC` that {@link runCommandLine} uses. */
export interface CommandParser {
  readonly name: string;
  readonly args: readonly string[];
  readonly options: Readonly<Record<string, unknown>>;
  readonly matchedCommand?: unknown;
  readonly matchedCommandName?: string;
  readonly commands: readonly { readonly name: string }[];
  parse(argv: string[], options: { run: boolean }): unknown;
  runMatchedCommand(): unknown;
}

/** Signals an invalid command line; its message is shown to the user. */
export class UsageError extends Error {}

/** Options of {@link runCommandLine}. */
export interface CommandRunOptions {
  /** Has the form of `process.argv`: the first two entries are skipped. */
  readonly argv: readonly string[];
  readonly output: CommandOutput;
}

/** Runs the command, prints its report and returns the exit code; never rejects. */
export async function runCommandLine(
  cli: CommandParser,
  { argv, output }: CommandRunOptions,
): Promise<number> {
  try {
    cli.parse([...argv], { run: false });
    if (hasPrintedHelpOrVersion(cli)) return EXIT_OK;
    if (cli.matchedCommand === undefined) throw unknownCommand(cli);
    const report = await cli.runMatchedCommand() as CommandReport;
    const isJson = cli.options.json === true;
    if (report.isPrinted !== true) printReport(report, { isJson, output });
    return report.exitCode;
  } catch (error) {
    return printFailure(error, { name: cli.name, output });
  }
}

/** Prints a report as one JSON line or as readable lines. */
export function printReport(
  { data, lines }: CommandReport,
  { isJson, output }: { isJson: boolean; output: CommandOutput },
): void {
  if (isJson) output.write(`${JSON.stringify(data)}\n`);
  else for (const line of lines) output.write(`${line}\n`);
}

function hasPrintedHelpOrVersion(
  { options, matchedCommandName }: CommandParser,
): boolean {
  const isVersion = options.version === true &&
    matchedCommandName === undefined;
  return options.help === true || isVersion;
}

function unknownCommand({ args, commands }: CommandParser): UsageError {
  const known = commands.map(({ name }) => name).join(", ");
  const [given] = args;
  const problem = given === undefined
    ? "A command is missing"
    : `Unknown command ${JSON.stringify(given)}`;
  return new UsageError(`${problem}; allowed: ${known}`);
}

function printFailure(
  error: unknown,
  { name, output }: { name: string; output: CommandOutput },
): number {
  const message = error instanceof Error ? error.message : String(error);
  if (isUsageError(error)) {
    output.writeError(`${name}: ${message}\n`);
    output.writeError(`Run \`${name} --help\` for usage\n`);
    return EXIT_USAGE;
  }
  output.writeError(`${name}: Internal error: ${message}\n`);
  return EXIT_INTERNAL;
}

function isUsageError(error: unknown): boolean {
  return error instanceof UsageError ||
    (error instanceof Error && error.name === "CACError");
}
