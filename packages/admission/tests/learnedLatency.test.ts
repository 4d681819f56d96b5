import { asId, asTier } from "@wasabivane/common";
import {
  computeStartBounds,
  createPendingRequest,
  firstByteTimeout,
  type PlacementDecision,
  type Route,
  type RouteId,
} from "@wasabivane/admission";
import test from "ava";
import {
  buildPlacementRequest,
  buildScheduler,
  buildUpstream,
  PLANS,
} from "./helpers/build.ts";

const SLOW_MS = 2_500;
const RECOVERED_MS = 100;
const ARRIVALS = 50;
const SPACING_MS = 200;

const ROUTE: Route = {
  route: asId<RouteId>("r"),
  host: "plans.example",
  prefix: "/a/",
  isStreaming: true,
  repeatability: "resumable",
  timeout: 4_000,
  target: 500,
  pauseTarget: 250,
  tier: asTier(1),
  maximumAttempts: 2,
  isAnonymous: false,
  targets: [],
};

test("a host whose first responses were slow still uses a free upstream that has recovered", (t) => {
  // Guards against refusing all requests after slow first responses: without
  // new samples the estimate would never recover.
  const { scheduler, stats, begin, end } = buildScheduler([
    buildUpstream(0),
  ]);
  const { upstream } = buildUpstream(0);
  const { firstEvents } = stats;
  const observe = (duration: number): void =>
    firstEvents.observe({
      service: PLANS,
      upstream,
      promptTokens: 1_000,
      duration,
    });
  for (let index = 0; index < 3; index++) observe(SLOW_MS);
  for (let index = 0; index < ARRIVALS; index++) {
    const now = index * SPACING_MS;
    const placementRequest = buildPlacementRequest(`r${index}`, {
      arrivedAt: now,
      target: ROUTE.target,
      deadline: now + ROUTE.timeout,
      firstByteTimeout: firstByteTimeout(ROUTE, ROUTE.timeout),
      promptTokens: 1_000,
    });
    let decision: PlacementDecision | undefined;
    const pending = createPendingRequest(placementRequest, stats, (decided) => {
      decision = decided;
    });
    scheduler.submit(pending, now);
    t.is(decision?.kind, "place", `request ${index}`);
    begin(upstream, 1_000);
    observe(RECOVERED_MS);
    end(upstream, now);
  }
  t.true(firstEvents.expected(PLANS, { promptTokens: 1_000 }) < 500);
});

test("a request whose expected latency exceeds its target still waits for a slot for a while", (t) => {
  // Guards against refusing at once on an estimate that may be outdated.
  const timeout = 2_000;
  t.is(firstByteTimeout(ROUTE, ROUTE.timeout), timeout);
  const { usefulUntil } = computeStartBounds({
    arrivedAt: 0,
    target: ROUTE.target,
    firstByteTimeout: timeout,
    latency: SLOW_MS,
  });
  t.true(usefulUntil >= timeout / 4);
  t.true(usefulUntil < timeout / 2);
});

test("later samples outweigh the first one", (t) => {
  // Guards against a first sample that dominates the estimate.
  const { firstEvents } = buildScheduler([buildUpstream(0)]).stats;
  const { upstream } = buildUpstream(0);
  const observe = (duration: number): void =>
    firstEvents.observe({
      service: PLANS,
      upstream,
      promptTokens: 0,
      duration,
    });
  observe(SLOW_MS);
  for (let index = 0; index < 10; index++) observe(RECOVERED_MS);
  const expected = firstEvents.expected(PLANS, { promptTokens: 0 });
  t.true(expected < 4 * RECOVERED_MS, `${expected}`);
});
