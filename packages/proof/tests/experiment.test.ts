import test from "ava";
import {
  type Deployment,
  type LoadPattern,
  type PolicyResult,
  runExperiment,
} from "@wasabivane/proof";

const SEED = 11;
/** Patterns with faults; the others take long in CI. */
const PATTERNS_WITH_FAULTS: readonly LoadPattern[] = [
  "upstream-loss",
  "leaving",
  "mixed",
];

function runPattern(
  pattern: LoadPattern,
  deployment: Deployment,
): PolicyResult {
  const { result } = runExperiment({
    pattern,
    deployment,
    seed: SEED,
    policies: ["wasabivane"],
  });
  return result.policies.wasabivane!;
}

for (const pattern of PATTERNS_WITH_FAULTS) {
  test(`${pattern}: no invariant is violated`, (t) => {
    const result = runPattern(pattern, "fukuoka");
    t.is(result.doubleDispatches, 0);
    t.is(result.crossedAnswers, 0);
    t.is(result.falseNotRun, 0);
    t.is(result.lost, 0);
    t.true(result.dispatches <= result.sent);
  });
}

// Guards against a poison request that crashes an upstream with every resend.
test("a poison request sent twenty times crashes at most two upstreams", (t) => {
  t.true(runPattern("poison", "fukuoka").upstreamsLost <= 2);
});

test("the result is deterministic for a seed", (t) => {
  t.deepEqual(runPattern("poison", "cairo"), runPattern("poison", "cairo"));
});
