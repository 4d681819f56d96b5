import test from "ava";
import {
  type ExperimentResult,
  type LoadPattern,
  runExperiment,
} from "@wasabivane/proof";

const SEED = 12;

function run(
  pattern: LoadPattern,
  policies: readonly string[],
): ExperimentResult {
  return runExperiment({ pattern, deployment: "cairo", seed: SEED, policies })
    .result;
}

// Guards against lower goodput than least-outstanding balancing under bursts,
// slow engines and long prompts, and against a top tier far below its bound.
for (const pattern of ["burst", "slow-upstream", "long-among-short"] as const) {
  test(`${pattern}: goodput is at least that of least-outstanding balancing`, (t) => {
    const { policies, bound } = run(pattern, [
      "leastOutstanding",
      "wasabivane",
    ]);
    const { wasabivane, leastOutstanding } = policies;
    t.true(
      wasabivane!.goodputByTier[1]! >= 0.95 * bound.goodputByTier[1]!,
    );
    t.true(
      wasabivane!.weightedGoodput >= leastOutstanding!.weightedGoodput,
    );
    t.true(wasabivane!.wastedPrefillTokens < 0.02 * wasabivane!.prefillTokens);
  });
}

// Guards against a top tier that is queued behind lower tiers when the load is
// twice the fleet's capacity.
test("overload: the goodput of the top tier stays close to its bound", (t) => {
  const { policies, bound } = run("overload", ["wasabivane"]);
  const result = policies.wasabivane!;
  t.true(result.goodputByTier[1]! >= 0.97 * bound.goodputByTier[1]!);
  t.is(result.tierInversions, 0);
  t.is(result.lost, 0);
  t.is(result.refusedByReason["not answered in time"] ?? 0, 0);
});

test("goodput does not exceed the bound", (t) => {
  const { policies, bound } = run("hot-account", ["wasabivane"]);
  const { goodputByTier, weightedGoodput } = policies.wasabivane!;
  t.true(goodputByTier[1]! <= bound.goodputByTier[1]!);
  t.true(weightedGoodput <= bound.weightedGoodput);
});
