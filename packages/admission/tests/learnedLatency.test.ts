import { asId, asTier, SeededRandom } from "@wasabivane/common";
import {
  HostScheduler,
  type Route,
  type RouteId,
  startBounds,
  UpstreamDirectory,
} from "@wasabivane/admission";
import test from "ava";
import { buildCandidate, buildUpstream, PLANS, WEST } from "./helpers/build.ts";

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

function createHost(): HostScheduler {
  const directory = new UpstreamDirectory();
  directory.set(buildUpstream(0));
  return new HostScheduler({
    directory,
    random: new SeededRandom(1),
    failureDomain: WEST,
  });
}

test("a host whose first answers were slow sends each request to a free, sound engine", (t) => {
  // All hosts were killed; the first answers after their start come after 2.5 s. Then
  // the engine is sound and has free places. A host that takes the learned time for
  // granted refuses all that comes, with nobody ahead, and as what is refused teaches
  // nothing it goes on so for good: callers get 503 from a fleet that idles.
  const host = createHost();
  const upstream = buildUpstream(0);
  const learn = (duration: number): void =>
    host.firstEvents.observe({
      service: PLANS,
      upstream: upstream.upstream,
      promptTokens: 1_000,
      duration,
    });
  for (let index = 0; index < 3; index++) learn(SLOW_MS);
  for (let index = 0; index < ARRIVALS; index++) {
    const now = index * SPACING_MS;
    const latency = host.firstEvents.expected(PLANS, { promptTokens: 1_000 });
    const bounds = startBounds(ROUTE, {
      arrivedAt: now,
      deadline: now + ROUTE.timeout,
      latency,
    });
    const candidate = Object.assign(
      buildCandidate(`r${index}`, { since: now, ...bounds }),
      { dueAt: now + ROUTE.target, target: ROUTE.target },
    );
    host.submit(candidate, now);
    t.is(candidate.verdict?.kind, "place", `request ${index}`);
    host.begin(upstream.upstream, 1_000);
    learn(SOUND_MS);
    host.end(upstream, { outcome: "whole", residence: SOUND_MS, now });
  }
  t.true(host.firstEvents.expected(PLANS, { promptTokens: 1_000 }) < 500);
});

test("a request whose usual answer takes too long still waits for a place for a while", (t) => {
  // Answers were slow for some seconds and every place is taken. The belief may be
  // out of date, so the caller is given a part of its patience before it is told to
  // come back.
  const patience = 2_000;
  const { usefulUntil } = startBounds(ROUTE, {
    arrivedAt: 0,
    deadline: ROUTE.timeout,
    latency: SLOW_MS,
  });
  t.true(usefulUntil >= patience / 4);
  t.true(usefulUntil < patience / 2);
});

test("what many answers show outweighs the first one", (t) => {
  // The first answer after a start came late; ten good ones follow. With the first one
  // weighing as much as fifty later ones a host would go by it for most of a minute.
  const host = createHost();
  const { upstream } = buildUpstream(0);
  const observe = (duration: number): void =>
    host.firstEvents.observe({
      service: PLANS,
      upstream,
      promptTokens: 0,
      duration,
    });
  observe(SLOW_MS);
  for (let index = 0; index < 10; index++) observe(SOUND_MS);
  const expected = host.firstEvents.expected(PLANS, { promptTokens: 0 });
  t.true(expected < 4 * SOUND_MS, `${expected}`);
});
