import { type CAC, cac } from "cac";
import {
  type CommandOutput,
  type CommandReport,
  getTextOption,
  type ParsedOptions,
  runCommandLine,
  SystemTimer,
  type Timer,
  UsageError,
} from "@wasabivane/common";
import { countersCommand } from "./countersCommand.ts";
import { drainCommand } from "./drainCommand.ts";
import { explainCommand } from "./explainCommand.ts";
import { EntryClient, type EntryFetch } from "./entryClient.ts";
import { healthCommand } from "./healthCommand.ts";
import { createDispatcher, readOperatorSettings } from "./operatorSettings.ts";
import { statusCommand } from "./statusCommand.ts";
import { upstreamsCommand } from "./upstreamsCommand.ts";
import { versionsCommand } from "./versionsCommand.ts";
import { waitingCommand } from "./waitingCommand.ts";
import { watchReports } from "./watchReports.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** How to run the tool. */
export interface OperatorToolOptions {
  readonly argv: readonly string[];
  readonly output: CommandOutput;
  readonly version: string;
  /** Ends `--watch`. */
  readonly signal?: AbortSignal;
  readonly isTerminal?: boolean;
  readonly timer?: Timer;
  readonly fetch?: EntryFetch;
}

type FleetCommand = (
  clients: readonly EntryClient[],
) => Promise<CommandReport>;

interface FleetCommandEntry {
  readonly name: string;
  readonly description: string;
  readonly command: FleetCommand;
}

const FLEET_COMMANDS: readonly FleetCommandEntry[] = [
  {
    name: "versions",
    description: "Tell the version in force on each host",
    command: versionsCommand,
  },
  {
    name: "status",
    description: "Tell how each host stands",
    command: statusCommand,
  },
  {
    name: "waiting",
    description: "Tell what waits by service, tier and client account",
    command: waitingCommand,
  },
  {
    name: "upstreams",
    description: "Tell the load of each upstream",
    command: upstreamsCommand,
  },
  {
    name: "counters",
    description: "Tell every counter that moved, over all hosts",
    command: countersCommand,
  },
  {
    name: "health",
    description: "Tell which hosts are alive and ready",
    command: healthCommand,
  },
];

/**
 * Runs `wasabivane-ctl`; gives its exit code: 0 in order, 1 when a host does
 * not answer or something differs, 2 usage.
 */
export function runOperatorTool(run: OperatorToolOptions): Promise<number> {
  const cli = cac("wasabivane-ctl");
  cli.option("--entries <urls>", "Operator ports, separated by commas");
  cli.option("--settings <file>", "File that lists the operator ports");
  cli.option("--timeout <ms>", "How long one host may take (default: 2000)");
  cli.option("--watch <seconds>", "Ask again and again until interrupted");
  cli.option("--json", "Print JSON documents for programs, one a line");
  for (const entry of FLEET_COMMANDS) registerFleetCommand(cli, { entry, run });
  registerDrain(cli, run);
  cli.command(
    "explain <id> [...files]",
    "Say from log files why a request ended as it did",
  ).action((id: unknown, files: string[]) => explainCommand(String(id), files));
  cli.help();
  cli.version(run.version);
  return runCommandLine(cli, run);
}

function registerFleetCommand(
  cli: CAC,
  { entry, run }: { entry: FleetCommandEntry; run: OperatorToolOptions },
): void {
  const { name, description, command } = entry;
  cli.command(name, description).action((options: ParsedOptions) => {
    const clients = clientsOf(options, run);
    return repeated(() => command(clients), { options, run });
  });
}

function registerDrain(cli: CAC, run: OperatorToolOptions): void {
  cli.command("drain <host>", "Order one host to stop as planned")
    .option("--stop-plan <name>", "Stop plan (default: the bundle's)")
    .action((host: unknown, options: ParsedOptions) => {
      if (options.watch !== undefined) {
        throw new UsageError("drain cannot be watched; watch status instead");
      }
      return drainCommand(clientsOf(options, run), {
        host: String(host),
        stopPlan: getTextOption(options, "stopPlan"),
      });
    });
}

function repeated(
  ask: () => Promise<CommandReport>,
  { options, run }: { options: ParsedOptions; run: OperatorToolOptions },
): Promise<CommandReport> {
  const periodMs = watchPeriod(options);
  if (periodMs === undefined) return ask();
  return watchReports(ask, {
    periodMs,
    timer: run.timer ?? new SystemTimer(),
    output: run.output,
    isJson: options.json === true,
    isTerminal: run.isTerminal ?? false,
    signal: run.signal ?? new AbortController().signal,
  });
}

function watchPeriod(options: ParsedOptions): number | undefined {
  const text = getTextOption(options, "watch");
  if (text === undefined) return undefined;
  const seconds = Number(text);
  if (seconds > 0 && seconds <= 86_400) {
    return seconds * MILLISECONDS_PER_SECOND;
  }
  throw new UsageError("--watch must be a number of seconds above 0");
}

function clientsOf(
  options: ParsedOptions,
  { fetch: request, timer }: OperatorToolOptions,
): EntryClient[] {
  const settings = readOperatorSettings(options);
  const dispatcher = createDispatcher(settings);
  return settings.entries.map((url) =>
    new EntryClient({
      url,
      timeoutMs: settings.timeoutMs,
      fetch: request,
      timer,
      dispatcher,
    })
  );
}
