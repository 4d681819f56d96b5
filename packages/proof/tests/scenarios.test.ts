import { runScenario } from "@wasabivane/proof";
import test from "ava";
import { SCENARIOS } from "../scenarios/index.ts";

for (const scenario of SCENARIOS) {
  test(scenario.name, async (t) => {
    const { verdict } = await runScenario(scenario);
    t.deepEqual(verdict.findings, []);
  });
}
