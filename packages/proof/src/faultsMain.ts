import { fork } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { cac } from "cac";
import { drawSchedule } from "./drawSchedule.ts";
import {
  addReport,
  emptyReport,
  type FaultsOptions,
  type FaultsReport,
  runFaults,
} from "./faultsReport.ts";
import { INVARIANTS } from "./checkScenario.ts";
import { formatEvent } from "./scenarioJournal.ts";
import { runScenario } from "./scenarioRunner.ts";

interface Flags {
  readonly seed: number;
  readonly runs: number;
  readonly jobs: number;
  readonly json?: boolean;
  readonly replay?: number;
}

/** Schedules per worker process; small batches balance the load. */
const BATCH = 100;

/** Parses the command line and runs or replays schedules. */
async function main(): Promise<void> {
  if (process.send !== undefined) {
    process.on(
      "message",
      (options: FaultsOptions) =>
        void runFaults(options).then((report) => process.send!(report)),
    );
    return;
  }
  const cli = cac("faults");
  cli.command("", "Run random schedules of faults in virtual time")
    .option("--seed <number>", "Seed of all schedules", { default: 1 })
    .option("--runs <number>", "How many schedules", { default: 100 })
    .option("--jobs <number>", "Processes that share the work", { default: 1 })
    .option("--json", "Print one JSON object")
    .option("--replay <index>", "Run one schedule and print its events")
    .action(runCommand);
  cli.help();
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
}

async function runCommand(flags: Flags): Promise<void> {
  if (flags.replay !== undefined) {
    await replay(flags.seed, flags.replay);
    return;
  }
  const startedAt = performance.now();
  const report = flags.jobs > 1
    ? await runInProcesses(flags)
    : await runFaults({ seed: flags.seed, from: 0, to: flags.runs });
  const seconds = (performance.now() - startedAt) / 1_000;
  if (flags.json) print(JSON.stringify(report));
  else printReadable(report, seconds);
  const hasNoViolation = INVARIANTS.every((invariant) =>
    report[invariant] === 0
  );
  process.exitCode = hasNoViolation ? 0 : 1;
}

async function replay(seed: number, index: number): Promise<void> {
  const scenario = drawSchedule(seed, index);
  const { story, requests, ...rest } = scenario;
  print(JSON.stringify(rest));
  for (const [name, request] of Object.entries(requests)) {
    print(`${name} ${JSON.stringify(request)}`);
  }
  print(`${story.length} steps; time in ms, then event`);
  const { journal, origin, verdict } = await runScenario(scenario);
  for (const event of journal.events) print(formatEvent(event, origin));
  for (const finding of verdict.findings) print(`VIOLATION ${finding}`);
  process.exitCode = verdict.findings.length === 0 ? 0 : 1;
}

async function runInProcesses(
  { seed, runs, jobs }: Flags,
): Promise<FaultsReport> {
  const report = emptyReport(seed);
  let next = 0;
  await Promise.all(Array.from({ length: jobs }, async () => {
    while (next < runs) {
      const from = next;
      next = Math.min(runs, next + BATCH);
      addReport(report, await runInProcess({ seed, from, to: next }));
    }
  }));
  return report;
}

/** Runs a batch in a separate process, which frees its memory on exit. */
function runInProcess(options: FaultsOptions): Promise<FaultsReport> {
  const worker = fork(fileURLToPath(import.meta.url), {
    execArgv: process.execArgv,
  });
  return new Promise((resolve, reject) => {
    worker.once("message", (report: FaultsReport) => {
      worker.disconnect();
      resolve(report);
    });
    worker.once("exit", () => reject(new Error("Worker process exited early")));
    worker.send(options);
  });
}

function printReadable(
  { failures, ...counts }: FaultsReport,
  seconds: number,
): void {
  for (const [name, count] of Object.entries(counts)) {
    print(`${name.padEnd(28)} ${count}`);
  }
  print(`${"seconds".padEnd(28)} ${seconds.toFixed(1)}`);
  for (const { what, replay: command } of failures) {
    print(`${what}\n  ${command}`);
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await main();
