import test from "ava";
import { createTally, type KeyKind, runFaults } from "./helpers/keyFaults.ts";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const KINDS: readonly KeyKind[] = ["bare", "ticket"];

for (const kind of KINDS) {
  test(`${kind} keys run at most once under random faults`, async (t) => {
    const tally = createTally();
    for (const seed of SEEDS) await runFaults(seed, { kind, tally });
    t.log(JSON.stringify(tally));
    t.is(tally.doubleDispatches, 0);
    t.is(tally.falseNotRun, 0);
    t.true(tally.dispatched > tally.requests / 4);
  });
}
