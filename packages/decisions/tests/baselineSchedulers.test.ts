import test from "ava";
import { asId, type RequestId, SeededRandom } from "@wasabivane/common";
import {
  LeastOutstandingScheduler,
  RoundRobinScheduler,
} from "@wasabivane/decisions";
import {
  buildPlacementRequest,
  buildPolicy,
  describeDecisions,
  upstreamId,
} from "./helpers/pools.ts";

test("round robin skips upstreams that are leaving", (t) => {
  const { upstreams, ...policy } = buildPolicy(3);
  const scheduler = new RoundRobinScheduler({
    ...policy,
    upstreams: upstreams.map((description, index) => ({
      ...description,
      isLeaving: index === 1,
    })),
  });
  const decisions = ["a", "b", "c"].flatMap((name) =>
    scheduler.submit(buildPlacementRequest(name), 0)
  );
  t.deepEqual(describeDecisions(decisions), [
    "grant a u0",
    "grant b u2",
    "grant c u0",
  ]);
});

test("round robin refuses a request when no upstream is left", (t) => {
  const scheduler = new RoundRobinScheduler(buildPolicy(0));
  t.deepEqual(
    describeDecisions(scheduler.submit(buildPlacementRequest("a"), 0)),
    [
      "refuse a no-upstream",
    ],
  );
});

test("least outstanding keeps its limits and grants in order of arrival", (t) => {
  const scheduler = new LeastOutstandingScheduler(
    buildPolicy(1, { maximumConcurrency: 1 }),
    { random: new SeededRandom(1), queueLimitPerUpstream: 1 },
  );
  t.deepEqual(
    describeDecisions(scheduler.submit(buildPlacementRequest("a"), 0)),
    [
      "grant a u0",
    ],
  );
  t.deepEqual(scheduler.submit(buildPlacementRequest("b"), 0), []);
  t.deepEqual(
    describeDecisions(scheduler.submit(buildPlacementRequest("c"), 0)),
    [
      "refuse c shed",
    ],
  );
  const decisions = scheduler.finish({
    request: asId<RequestId>("a"),
    upstream: upstreamId(0),
    outcome: "whole",
    outputTokens: 10,
  }, 5);
  t.deepEqual(describeDecisions(decisions), ["grant b u0"]);
});
