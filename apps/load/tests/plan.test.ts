import test from "ava";
import { asTier, SeededRandom } from "@wasabivane/common";
import { planCalls, type PlanOptions, uuidV7 } from "@wasabivane/load";

const CALLERS = ["large", "small", "third"].map((account) => ({
  account,
  apiKey: `key-${account}`,
  tiers: [asTier(1), asTier(3)],
}));

function createOptions(options: Partial<PlanOptions> = {}): PlanOptions {
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

test("the same seed gives the same plan, another seed a different one", (t) => {
  const plan = planCalls(createOptions({ pattern: "mixed" }));
  t.deepEqual(planCalls(createOptions({ pattern: "mixed" })), plan);
  t.notDeepEqual(
    planCalls(createOptions({ pattern: "mixed", seed: 12 })),
    plan,
  );
});

test("patterns change rate, account share and lengths as specified", (t) => {
  const steady = planCalls(createOptions());
  const overload = planCalls(createOptions({ pattern: "overload" }));
  t.true(Math.abs(overload.length / steady.length - 2) < 0.2);
  const hot = planCalls(createOptions({ pattern: "hot-account" }));
  const ofLarge = hot.filter(({ caller }) => caller.account === "large");
  t.true(ofLarge.length > 0.75 * hot.length);
  const burst = planCalls(createOptions({ pattern: "burst" }));
  const inBurst = burst.filter(({ arrivalOffset }) =>
    arrivalOffset >= 24_000 && arrivalOffset < 30_000
  );
  t.true(inBurst.length > 4 * steady.length / 10);
  const prompts = steady.map(({ promptTokens }) => promptTokens);
  t.true(Math.max(...prompts) > 100 * Math.min(...prompts));
});

test("keys are version 7 UUIDs that contain their timestamp", (t) => {
  const now = 1_800_000_000_123;
  const key = uuidV7(now, new SeededRandom(1));
  t.regex(
    key,
    /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/,
  );
  t.is(parseInt(key.replace("-", "").slice(0, 12), 16), now);
});
