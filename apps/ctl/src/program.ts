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

/** Options of {@link runOperatorTool}. */
export interface OperatorToolOptions {
  readonly argv: readonly string[];
  readonly output: CommandOutput;
  readonly version: string;
  /** Stops `--watch`. */
  readonly signal?: AbortSignal;
  readonly isTerminal?: boolean;
  readonly timer?: Timer;
  readonly fetch?: EntryFetch;
}

type FleetCommand = (
  clients: readonly EntryClient[],
) => Promise<CommandReport>;

interface FleetCommandDefinition {
  readonly name: string;
  readonly description: string;
  readonly command: FleetCommand;
}

const FLEET_COMMANDS: readonly FleetCommandDefinition[] = [
  {
    name: "versions",
    description: "Show the bundle version in force on each host",
    command: versionsCommand,
  },
  {
    name: "status",
    description: "Show the state of each host",
    command: statusCommand,
  },
  {
    name: "waiting",
    description: "Count waiting requests by service, tier and client account",
    command: waitingCommand,
  },
  {
    name: "upstreams",
    description: "Show the load of each upstream",
    command: upstreamsCommand,
  },
  {
    name: "counters",
    description: "Show every non-zero counter, summed over all hosts",
    command: countersCommand,
  },
  {
    name: "health",
    description: "Show which hosts are alive and ready",
    command: healthCommand,
  },
];

/**
 * Runs `wasabivane-ctl` and returns its exit code: 0 on success, 1 when a host
 * is unresponsive or the report needs attention, 2 on a usage error.
 */
export function runOperatorTool(
  toolOptions: OperatorToolOptions,
): Promise<number> {
  const cli = cac("wasabivane-ctl");
  cli.option("--entries <urls>", "Operator ports, separated by commas");
  cli.option("--settings <file>", "File that lists the operator ports");
  cli.option("--timeout <ms>", "Timeout per host (default: 2000)");
  cli.option("--watch <seconds>", "Repeat the command until interrupted");
  cli.option("--json", "Print one JSON document per line");
  for (const entry of FLEET_COMMANDS) {
    registerFleetCommand(cli, { entry, toolOptions });
  }
  registerDrainCommand(cli, toolOptions);
  cli.command(
    "explain <id> [...files]",
    "Explain from log files why a request ended as it did",
  ).action((id: unknown, files: string[]) => explainCommand(String(id), files));
  cli.help();
  cli.version(toolOptions.version);
  return runCommandLine(cli, toolOptions);
}

function registerFleetCommand(
  cli: CAC,
  { entry, toolOptions }: {
    entry: FleetCommandDefinition;
    toolOptions: OperatorToolOptions;
  },
): void {
  const { name, description, command } = entry;
  cli.command(name, description).action((options: ParsedOptions) => {
    const clients = createClients(options, toolOptions);
    return runRepeatedly(() => command(clients), { options, toolOptions });
  });
}

function registerDrainCommand(
  cli: CAC,
  toolOptions: OperatorToolOptions,
): void {
  cli.command("drain <host>", "Start a planned stop of one host")
    .option("--stop-plan <name>", "Stop plan (default: the bundle's)")
    .action((host: unknown, options: ParsedOptions) => {
      if (options.watch !== undefined) {
        throw new UsageError(
          "The command drain cannot be watched; watch status instead",
        );
      }
      return drainCommand(createClients(options, toolOptions), {
        host: String(host),
        stopPlan: getTextOption(options, "stopPlan"),
      });
    });
}

function runRepeatedly(
  command: () => Promise<CommandReport>,
  { options, toolOptions }: {
    options: ParsedOptions;
    toolOptions: OperatorToolOptions;
  },
): Promise<CommandReport> {
  const periodMs = parseWatchPeriod(options);
  if (periodMs === undefined) return command();
  return watchReports(command, {
    periodMs,
    timer: toolOptions.timer ?? new SystemTimer(),
    output: toolOptions.output,
    isJson: options.json === true,
    isTerminal: toolOptions.isTerminal ?? false,
    signal: toolOptions.signal ?? new AbortController().signal,
  });
}

function parseWatchPeriod(options: ParsedOptions): number | undefined {
  const text = getTextOption(options, "watch");
  if (text === undefined) return undefined;
  const seconds = Number(text);
  if (seconds > 0 && seconds <= 86_400) {
    return seconds * MILLISECONDS_PER_SECOND;
  }
  throw new UsageError(
    "--watch must be a number of seconds above 0 and at most 86400",
  );
}

function createClients(
  options: ParsedOptions,
  { fetch, timer }: OperatorToolOptions,
): EntryClient[] {
  const settings = readOperatorSettings(options);
  const dispatcher = createDispatcher(settings);
  return settings.entries.map((url) =>
    new EntryClient({
      url,
      timeoutMs: settings.timeoutMs,
      fetch,
      timer,
      dispatcher,
    })
  );
}
