import test from "ava";
import {
  asId,
  type Digest,
  type RequestId,
  SeededRandom,
} from "@wasabivane/common";
import {
  type PoolPolicy,
  PoolScheduler,
  type PoolSchedulerOptions,
} from "@wasabivane/decisions";
import {
  buildPlacementRequest,
  buildPolicy,
  describeDecisions,
  upstreamId,
} from "./helpers/pools.ts";

function buildScheduler(
  upstreams: number,
  overrides: Partial<PoolPolicy> = {},
  options: Partial<PoolSchedulerOptions> = {},
): PoolScheduler {
  return new PoolScheduler(buildPolicy(upstreams, overrides), {
    random: new SeededRandom(1),
    ...options,
  });
}

const MEDIUM_TIMES = {
  medium: { prefillMsPerToken: 0.1, decodeMsPerToken: 20, typicalInFlight: 8 },
};

test("a free slot goes to the most urgent tier", (t) => {
  const scheduler = buildScheduler(1, { initialConcurrency: 1 });
  scheduler.submit(buildPlacementRequest("running"), 0);
  scheduler.submit(buildPlacementRequest("low", { tier: 4 }), 0);
  scheduler.submit(buildPlacementRequest("high", { tier: 1 }), 1);
  const decisions = scheduler.finish({
    request: asId<RequestId>("running"),
    upstream: upstreamId(0),
    outcome: "whole",
    outputTokens: 20,
  }, 500);
  t.deepEqual(describeDecisions(decisions), ["grant high u0"]);
});

test("a full queue sheds the lowest tier, even a new request", (t) => {
  const scheduler = buildScheduler(1, {
    initialConcurrency: 1,
    maximumWaitingBytes: 3_000,
  });
  scheduler.submit(buildPlacementRequest("running"), 0);
  scheduler.submit(buildPlacementRequest("low", { tier: 4 }), 0);
  t.deepEqual(
    describeDecisions(
      scheduler.submit(buildPlacementRequest("high", { tier: 1 }), 1),
    ),
    ["refuse low shed"],
  );
  t.deepEqual(
    describeDecisions(
      scheduler.submit(buildPlacementRequest("later", { tier: 3 }), 1),
    ),
    ["refuse later shed"],
  );
});

test("a request that cannot meet its deadline is refused with an estimate", (t) => {
  const scheduler = buildScheduler(1, {}, { generationTimes: MEDIUM_TIMES });
  const [decision] = scheduler.submit(
    buildPlacementRequest("late", { promptTokens: 20_000, deadline: 100 }),
    0,
  );
  t.is(decision?.kind, "refuse");
  if (decision?.kind !== "refuse") return;
  t.is(decision.reason, "deadline-unreachable");
  t.true(decision.estimate! > 100);
});

test("default speeds of unknown upstreams do not refuse a request", (t) => {
  const decisions = buildScheduler(1).submit(
    buildPlacementRequest("early", { promptTokens: 20_000, deadline: 100 }),
    0,
  );
  t.deepEqual(describeDecisions(decisions), ["grant early u0"]);
});

test("a request that is delivered twice is granted once", (t) => {
  const scheduler = buildScheduler(2);
  t.is(scheduler.submit(buildPlacementRequest("a"), 0).length, 1);
  t.deepEqual(scheduler.submit(buildPlacementRequest("a"), 1), []);
});

test("a waiting request with quarantined content is refused", (t) => {
  const scheduler = buildScheduler(1, { initialConcurrency: 1 });
  scheduler.submit(buildPlacementRequest("running"), 0);
  scheduler.submit(
    buildPlacementRequest("copy", { fingerprint: asId<Digest>("poison") }),
    0,
  );
  scheduler.importPoisonRecords([{
    fingerprint: asId<Digest>("poison"),
    kind: "convicted",
    remainingMs: 60_000,
  }], 10);
  const decisions = scheduler.finish({
    request: asId<RequestId>("running"),
    upstream: upstreamId(0),
    outcome: "whole",
    outputTokens: 20,
  }, 500);
  t.deepEqual(describeDecisions(decisions), ["refuse copy convicted"]);
});

test("waiting requests are refused at once when all upstreams leave", (t) => {
  const scheduler = buildScheduler(1, { initialConcurrency: 1 });
  scheduler.submit(buildPlacementRequest("running"), 0);
  scheduler.submit(buildPlacementRequest("waiting"), 0);
  const policy = buildPolicy(1);
  const decisions = scheduler.setPolicy({
    ...policy,
    upstreams: policy.upstreams.map((description) => ({
      ...description,
      isLeaving: true,
    })),
  }, 10);
  t.deepEqual(describeDecisions(decisions), ["refuse waiting no-upstream"]);
});
