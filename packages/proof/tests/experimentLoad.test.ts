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

// Callers send half as much again as the fleet can carry for ten seconds, or one
// account sends half of all requests, or three engines turn six times slower, or
// a tenth of the prompts is twenty times longer. What they receive must be no
// worse than from the customary proxy, and the top tier near what is possible.
for (const pattern of ["burst", "slow-upstream", "long-among-short"] as const) {
  test(`${pattern}: callers get more than from the customary proxy`, (t) => {
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

// Callers send twice what the fleet can carry. Without order the urgent wait
// behind the rest and all answers come late; here the lower tiers are refused,
// with the reason, and the top tier hardly notices.
test("overload: the top tier keeps what the bound keeps", (t) => {
  const { policies, bound } = run("overload", ["wasabivane"]);
  const result = policies.wasabivane!;
  t.true(result.goodputByTier[1]! >= 0.97 * bound.goodputByTier[1]!);
  t.is(result.tierInversions, 0);
  t.is(result.lost, 0);
  t.is(result.refusedByReason["not answered in time"] ?? 0, 0);
});

test("the bound is never exceeded in the top tier", (t) => {
  const { policies, bound } = run("hot-account", ["wasabivane"]);
  const { goodputByTier, weightedGoodput } = policies.wasabivane!;
  t.true(goodputByTier[1]! <= bound.goodputByTier[1]!);
  t.true(weightedGoodput <= bound.weightedGoodput);
});
