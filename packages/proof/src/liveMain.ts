import process from "node:process";
import { SeededRandom, sleep, SystemTimer } from "@wasabivane/common";
import {
  type EndedCall,
  loadSettingsSchema,
  resolveLoadOptions,
  runLoad,
} from "@wasabivane/load";
import { cac } from "cac";
import { type Fleet, startFleet } from "./fleet.ts";
import { injectFaults } from "./liveFaults.ts";
import { checkLiveRun, type LiveReport } from "./checkLiveRun.ts";

interface Flags {
  readonly seconds: number;
  readonly seed: number;
  readonly rate: number;
  readonly json?: boolean;
}

const HOSTS = 8;
const TIME_SCALE = 10;
const SECOND = 1_000;
const STATUS_PERIOD_MS = 500;
/** Time until key homes start their tenure; earlier keys are refused. */
const START_MS = 8_000;
/** Idle time after which a caller resends through another host. */
const IDLE_TIMEOUT_MS = 5_000;

/** Runs entry processes under load and faults and prints a report. */
async function main(): Promise<void> {
  const cli = cac("live");
  cli.command("", "Kill and pause real entry processes under load")
    .option("--seconds <number>", "How long load and faults last", {
      default: 30,
    })
    .option("--seed <number>", "Seed of load and faults", { default: 1 })
    .option("--rate <number>", "Calls per second", { default: 20 })
    .option("--json", "Print one JSON object")
    .action(runCommand);
  cli.help();
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
}

async function runCommand(flags: Flags): Promise<void> {
  const fleet = await startFleet({
    deployment: "fukuoka",
    hosts: HOSTS,
    timeScale: TIME_SCALE,
  });
  try {
    const report = await runLive(flags, fleet);
    print(report, flags.json === true);
    const { doubleDispatches, doubleRuns, crossed, cut, falseNotRun } = report;
    const violations = doubleDispatches + doubleRuns + crossed + cut +
      falseNotRun + report.configurationReversions;
    process.exitCode = violations === 0 ? 0 : 1;
  } finally {
    await fleet.stop();
  }
}

async function runLive(
  { seconds, seed, rate }: Flags,
  fleet: Fleet,
): Promise<LiveReport> {
  const calls: EndedCall[] = [];
  const settings = loadSettingsSchema.parse({
    deployment: "fukuoka",
    entries: fleet.entries.map(({ callerUrl }) => callerUrl),
    seed,
    durationSeconds: seconds,
    requestsPerSecond: rate,
    plainShare: 0.5,
  });
  const options = resolveLoadOptions(settings)._unsafeUnwrap();
  await sleep(new SystemTimer(), START_MS);
  const versionMonitor = new BundleVersionMonitor(fleet);
  const [faults] = await Promise.all([
    injectFaults({
      fleet,
      random: new SeededRandom(seed),
      forMs: seconds * SECOND,
    }),
    runLoad({
      ...options,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      onEnd: (call) => calls.push(call),
    }),
  ]);
  const configurationReversions = versionMonitor.stop();
  return checkLiveRun(
    { seed, seconds, ...faults, configurationReversions },
    { calls, fleet },
  );
}

/** Polls the bundle version in force on each host and counts reversions. */
class BundleVersionMonitor {
  readonly #newest = new Map<string, number>();
  readonly #polling: { cancel(): void };
  #reversions = 0;

  constructor({ entries }: Fleet) {
    this.#polling = new SystemTimer().every(STATUS_PERIOD_MS, () => {
      for (const { operatorUrl } of entries) {
        void this.#checkVersion(operatorUrl);
      }
    });
  }

  stop(): number {
    this.#polling.cancel();
    return this.#reversions;
  }

  async #checkVersion(operatorUrl: string): Promise<void> {
    const response = await fetch(`${operatorUrl}/status`, {
      signal: AbortSignal.timeout(STATUS_PERIOD_MS),
    }).catch(() => undefined);
    const status = await response?.json().catch(() => undefined) as
      | { incarnation: string; bundle: { version: number } | null }
      | undefined;
    if (status === undefined || status.bundle === null) return;
    const { incarnation, bundle: { version } } = status;
    const newest = this.#newest.get(incarnation) ?? 0;
    if (version < newest) this.#reversions++;
    this.#newest.set(incarnation, Math.max(newest, version));
  }
}

function print(report: LiveReport, isJson: boolean): void {
  if (isJson) {
    process.stdout.write(`${JSON.stringify(report)}\n`);
    return;
  }
  for (const [name, value] of Object.entries(report)) {
    process.stdout.write(`${name.padEnd(28)} ${JSON.stringify(value)}\n`);
  }
}

await main();
