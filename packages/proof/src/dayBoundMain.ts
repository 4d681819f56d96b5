/** Prints the slot usage and on-time bound of each service from host logs. */
import process from "node:process";
import { readLogFiles } from "@wasabivane/ctl";
import { cac } from "cac";
import { analyzeServiceUsage, type TierUsage } from "./serviceUsage.ts";
import { type LoggedOutcome, readLoggedRequests } from "./loggedRequests.ts";

const OUTCOMES: readonly LoggedOutcome[] = [
  "on time",
  "late by its first event",
  "late by a pause",
  "refused",
  "broken off",
];
const COLUMN_WIDTH = 25;

function print(cells: readonly (string | number)[]): void {
  const row = cells.map((cell) => String(cell).padEnd(COLUMN_WIDTH)).join("");
  process.stdout.write(`${row.trimEnd()}\n`);
}

function rowOf(
  { tier, requestCount, outcomes, bound }: TierUsage,
): (string | number)[] {
  return [
    tier,
    requestCount,
    ...OUTCOMES.map((outcome) => outcomes.get(outcome) ?? 0),
    Math.round(bound),
  ];
}

function run(files: readonly string[]): void {
  for (const [service, requests] of readLoggedRequests(readLogFiles(files))) {
    const { tiers, capacity, used } = analyzeServiceUsage(requests);
    const share = Math.round(100 * used / Math.max(1, capacity));
    print([`service ${service}: ${share} % of the slot time used`]);
    print(["tier", "requests", ...OUTCOMES, "on-time bound"]);
    for (const tier of tiers) print(rowOf(tier));
  }
}

const program = cac("bound");
program.command("<...files>", "Read logs of entry hosts, one or more files")
  .action(run);
program.help();
program.parse(process.argv, { run: false });
await program.runMatchedCommand();
