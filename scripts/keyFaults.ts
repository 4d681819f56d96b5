import process from "node:process";
import { cac } from "cac";
import {
  createTally,
  type KeyKind,
  runFaults,
} from "../packages/coordination/tests/helpers/keyFaults.ts";

const KINDS: readonly KeyKind[] = ["bare", "ticket"];

/** Runs the same random fault schedules with both kinds of keys and prints the tallies. */
async function main(): Promise<void> {
  const cli = cac("key-faults");
  cli.option("--seed <number>", "First seed", { default: 1 });
  cli.option("--runs <number>", "Schedules of each kind", { default: 20 });
  const { seed, runs } = cli.parse(process.argv).options;
  for (const kind of KINDS) {
    const tally = createTally();
    for (let run = 0; run < runs; run++) {
      await runFaults(seed + run, { kind, tally });
    }
    process.stdout.write(`${JSON.stringify({ kind, seed, runs, ...tally })}\n`);
  }
}

await main();
