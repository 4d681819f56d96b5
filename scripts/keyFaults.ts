import process from "node:process";
import { cac } from "cac";
import {
  createTally,
  type KeyKind,
  runFaults,
} from "../packages/coordination/tests/helpers/keyFaults.ts";

const KEY_KINDS: readonly KeyKind[] = ["bare", "ticket"];

/**
 * Runs the same random fault schedules for each kind of key and prints the
 * counts of their outcomes as one JSON line per kind.
 */
async function main(): Promise<void> {
  const cli = cac("key-faults");
  cli.option("--seed <number>", "First seed", { default: 1 });
  cli.option("--runs <number>", "Schedules per kind of key", { default: 20 });
  const { seed, runs } = cli.parse(process.argv).options;
  for (const kind of KEY_KINDS) {
    const tally = createTally();
    for (let run = 0; run < runs; run++) {
      await runFaults(seed + run, { kind, tally });
    }
    process.stdout.write(`${JSON.stringify({ kind, seed, runs, ...tally })}\n`);
  }
}

await main();
