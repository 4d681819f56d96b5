import { existsSync, readFileSync } from "node:fs";
import { type FaultScenario, runScenario } from "@wasabivane/proof";
import test from "ava";

// Regression schedules that once violated an invariant. Those listed in
// KNOWN-RED.txt are expected to fail; the run fails if one of them passes.

const SCHEDULES = JSON.parse(
  readFileSync(
    new URL("../scenarios/drawnSchedules.json", import.meta.url),
    "utf8",
  ),
) as FaultScenario[];
const KNOWN_RED_FILE = new URL("../../../KNOWN-RED.txt", import.meta.url);
const KNOWN_RED = existsSync(KNOWN_RED_FILE)
  ? readFileSync(KNOWN_RED_FILE, "utf8")
  : "";

for (const schedule of SCHEDULES) {
  const isKnownRed = KNOWN_RED.includes(`schedule ${schedule.name} `);
  const run = isKnownRed ? test.failing : test;
  run(
    `schedule ${schedule.name}${isKnownRed ? " (KNOWN-RED)" : ""}`,
    async (t) => {
      const { verdict } = await runScenario(schedule);
      t.deepEqual(verdict.findings, []);
    },
  );
}
