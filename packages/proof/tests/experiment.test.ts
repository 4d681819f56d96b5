import test from "ava";
import {
  type Deployment,
  type LoadPattern,
  type PolicyResult,
  runExperiment,
} from "@wasabivane/proof";

const SEED = 11;
/** Those with faults; the others are cheap to run by hand and take long in CI. */
const PATTERNS_WITH_FAULTS: readonly LoadPattern[] = [
  "upstream-loss",
  "leaving",
  "mixed",
];

function runOne(pattern: LoadPattern, deployment: Deployment): PolicyResult {
  const { result } = runExperiment({
    pattern,
    deployment,
    seed: SEED,
    policies: ["wasabivane"],
  });
  return result.policies.wasabivane!;
}

for (const pattern of PATTERNS_WITH_FAULTS) {
  test(`${pattern}: what must always hold, holds`, (t) => {
    const result = runOne(pattern, "fukuoka");
    t.is(result.doubleDispatches, 0);
    t.is(result.crossedAnswers, 0);
    t.is(result.falseNotRun, 0);
    t.is(result.lost, 0);
    t.true(result.dispatches <= result.sent);
  });
}

// Callers see a refusal marked `convicted` for the one request whose upstreams
// died, and answers to all others. The killer crashes its engine at its first
// token and is sent again each two seconds. Without suspicion it takes an
// upstream each time; held apart from other suspects, its second loss convicts it.
test("one killer sent twenty times costs two upstreams", (t) => {
  t.true(runOne("poison", "fukuoka").upstreamsLost <= 2);
});

test("the same seed gives the same result", (t) => {
  t.deepEqual(runOne("poison", "cairo"), runOne("poison", "cairo"));
});
