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
  buildScheduler,
  buildUpstream,
  buildWish,
  PLANS,
} from "./helpers/build.ts";

const SLOW_MS = 2_500;
const SOUND_MS = 100;
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

test("a host whose first answers were slow sends each request to a free, sound engine", (t) => {
  // All hosts were killed; the first answers after their start come after 2.5 s. Then
  // the engine is sound and has free places. A host that takes the learned time for
  // granted refuses all that comes, with nobody ahead, and as what is refused teaches
  // nothing it goes on so for good: callers get 503 from a fleet that idles.
  const { scheduler, knowledge, begin, end } = buildScheduler([
    buildUpstream(0),
  ]);
  const { upstream } = buildUpstream(0);
  const { firstEvents } = knowledge;
  const learn = (duration: number): void =>
    firstEvents.observe({
      service: PLANS,
      upstream,
      promptTokens: 1_000,
      duration,
    });
  for (let index = 0; index < 3; index++) learn(SLOW_MS);
  for (let index = 0; index < ARRIVALS; index++) {
    const now = index * SPACING_MS;
    const wish = buildWish(`r${index}`, {
      arrivedAt: now,
      target: ROUTE.target,
      deadline: now + ROUTE.timeout,
      firstByteTimeout: firstByteTimeout(ROUTE, ROUTE.timeout),
      promptTokens: 1_000,
    });
    let verdict: PlacementDecision | undefined;
    const candidate = createPendingRequest(wish, knowledge, (decided) => {
      verdict = decided;
    });
    scheduler.submit(candidate, now);
    t.is(verdict?.kind, "place", `request ${index}`);
    begin(upstream, 1_000);
    learn(SOUND_MS);
    end(upstream, now);
  }
  t.true(firstEvents.expected(PLANS, { promptTokens: 1_000 }) < 500);
});

test("a request whose usual answer takes too long still waits for a place for a while", (t) => {
  // Answers were slow for some seconds and every place is taken. The belief may be
  // out of date, so the caller is given a part of its patience before it is told to
  // come back.
  const patience = 2_000;
  t.is(firstByteTimeout(ROUTE, ROUTE.timeout), patience);
  const { usefulUntil } = computeStartBounds({
    arrivedAt: 0,
    target: ROUTE.target,
    firstByteTimeout: patience,
    latency: SLOW_MS,
  });
  t.true(usefulUntil >= patience / 4);
  t.true(usefulUntil < patience / 2);
});

test("what many answers show outweighs the first one", (t) => {
  // The first answer after a start came late; ten good ones follow. With the first one
  // weighing as much as fifty later ones a host would go by it for most of a minute.
  const { firstEvents } = buildScheduler([buildUpstream(0)]).knowledge;
  const { upstream } = buildUpstream(0);
  const observe = (duration: number): void =>
    firstEvents.observe({
      service: PLANS,
      upstream,
      promptTokens: 0,
      duration,
    });
  observe(SLOW_MS);
  for (let index = 0; index < 10; index++) observe(SOUND_MS);
  const expected = firstEvents.expected(PLANS, { promptTokens: 0 });
  t.true(expected < 4 * SOUND_MS, `${expected}`);
});
