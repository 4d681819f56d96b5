/** The command did what was asked. */
export const EXIT_OK = 0;
/** The command worked, and there is something to look at. */
export const EXIT_FINDINGS = 1;
/** The command line itself is wrong. */
export const EXIT_USAGE = 2;
/** A broken invariant; as `EX_SOFTWARE` of sysexits. */
export const EXIT_INTERNAL = 70;

/** What a command found: `data` for programs, `lines` for people. */
export interface CommandReport {
  readonly exitCode: number;
  readonly data: unknown;
  readonly lines: readonly string[];
  /** Whether the command printed it itself, as one that watches does. */
  readonly isPrinted?: boolean;
}

/** Where a binary writes. */
export interface CommandOutput {
  write(text: string): void;
  writeError(text: string): void;
}

/** What running needs of a parser such as cac's `CAC`, whose commands return reports. */
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

/** A command line that cannot be run; the message is for the user. */
export class UsageError extends Error {}

/** Options of {@link runCommandLine}. */
export interface CommandRunOptions {
  /** As `process.argv`: the first two entries are skipped. */
  readonly argv: readonly string[];
  readonly output: CommandOutput;
}

/** Parses, runs the command, prints its report and gives the exit code; never throws. */
export async function runCommandLine(
  cli: CommandParser,
  { argv, output }: CommandRunOptions,
): Promise<number> {
  try {
    cli.parse([...argv], { run: false });
    if (isAnswered(cli)) return EXIT_OK;
    if (cli.matchedCommand === undefined) throw unknownCommand(cli);
    const report = await cli.runMatchedCommand() as CommandReport;
    const isJson = cli.options.json === true;
    if (report.isPrinted !== true) printReport(report, { isJson, output });
    return report.exitCode;
  } catch (error) {
    return printFailure(error, { name: cli.name, output });
  }
}

/** Prints a report as one JSON line, or as lines for people. */
export function printReport(
  { data, lines }: CommandReport,
  { isJson, output }: { isJson: boolean; output: CommandOutput },
): void {
  if (isJson) output.write(`${JSON.stringify(data)}\n`);
  else for (const line of lines) output.write(`${line}\n`);
}

/** Whether parsing has printed the help or the version already. */
function isAnswered({ options, matchedCommandName }: CommandParser): boolean {
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
