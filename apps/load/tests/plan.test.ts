import test from "ava";
import { asTier, SeededRandom } from "@wasabivane/common";
import { planCalls, type PlanOptions, uuidV7 } from "@wasabivane/load";

const CALLERS = ["large", "small", "third"].map((account) => ({
  account,
  apiKey: `key-${account}`,
  tiers: [asTier(1), asTier(3)],
}));

function optionsOf(options: Partial<PlanOptions> = {}): PlanOptions {
  return {
    pattern: "steady",
    seed: 11,
    durationMs: 60_000,
    requestsPerSecond: 50,
    callers: CALLERS,
    plainShare: 0.1,
    wholeShare: 0.2,
    ...options,
  };
}

test("a seed fixes every call, another seed gives others", (t) => {
  const plan = planCalls(optionsOf({ pattern: "mixed" }));
  t.deepEqual(planCalls(optionsOf({ pattern: "mixed" })), plan);
  t.notDeepEqual(planCalls(optionsOf({ pattern: "mixed", seed: 12 })), plan);
});

test("patterns differ as they are described", (t) => {
  const steady = planCalls(optionsOf());
  const overload = planCalls(optionsOf({ pattern: "overload" }));
  t.true(Math.abs(overload.length / steady.length - 2) < 0.2);
  const hot = planCalls(optionsOf({ pattern: "hot-account" }));
  const ofLarge = hot.filter(({ caller }) => caller.account === "large");
  t.true(ofLarge.length > 0.75 * hot.length);
  const burst = planCalls(optionsOf({ pattern: "burst" }));
  const inBurst = burst.filter(({ arrivalOffset: at }) =>
    at >= 24_000 && at < 30_000
  );
  t.true(inBurst.length > 4 * steady.length / 10);
  const prompts = steady.map(({ promptTokens }) => promptTokens);
  t.true(Math.max(...prompts) > 100 * Math.min(...prompts));
});

test("keys are version 7 and carry their time of issue", (t) => {
  const now = 1_800_000_000_123;
  const key = uuidV7(now, new SeededRandom(1));
  t.regex(
    key,
    /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/,
  );
  t.is(parseInt(key.replace("-", "").slice(0, 12), 16), now);
});
