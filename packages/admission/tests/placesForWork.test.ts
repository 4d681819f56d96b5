import test from "ava";
import { asId, SeededRandom, type UpstreamId } from "@wasabivane/common";
import {
  HostScheduler,
  UpstreamDirectory,
  UpstreamPauses,
  UpstreamSpeed,
} from "@wasabivane/admission";
import { buildCandidate, buildUpstream, PLANS, WEST } from "./helpers/build.ts";

const [FAST, SLOW] = [asId<UpstreamId>("u0"), asId<UpstreamId>("u1")];

/** Two upstreams of two places; the first works four times as fast. */
function createScheduler(): HostScheduler {
  const directory = new UpstreamDirectory();
  directory.set(buildUpstream(0));
  directory.set(buildUpstream(1));
  const scheduler = new HostScheduler({
    directory,
    random: new SeededRandom(1),
    failureDomain: WEST,
  });
  for (let index = 0; index < 20; index++) {
    scheduler.speed.observe({ service: PLANS, upstream: FAST, duration: 10 });
    scheduler.speed.observe({ service: PLANS, upstream: SLOW, duration: 40 });
    for (const promptTokens of [100, 10_000]) {
      for (const [upstream, slowness] of [[FAST, 0.4], [SLOW, 1.6]] as const) {
        scheduler.firstEvents.observe({
          service: PLANS,
          upstream,
          promptTokens,
          duration: slowness * (20 + promptTokens * 0.04),
        });
      }
    }
  }
  return scheduler;
}

/** Fills both places of an upstream. */
function fill(scheduler: HostScheduler, upstream: UpstreamId): void {
  scheduler.begin(upstream);
  scheduler.begin(upstream);
}

test("a long answer leaves the slow engine to short ones while it can wait", (t) => {
  // The fast engine is full. At the slow one the long answer would still run at its
  // deadline, and its caller get half of it; the short one is done in time there.
  const scheduler = createScheduler();
  fill(scheduler, FAST);
  const long = buildCandidate("long", { answering: 4_000, deadline: 6_000 });
  const short = buildCandidate("short", { answering: 100, deadline: 6_000 });
  scheduler.submit(long, 0);
  scheduler.submit(short, 0);
  t.is(long.verdict, undefined);
  t.like(short.verdict, { kind: "place", upstream: { upstream: SLOW } });
});

test("a long prompt is not read beside streams that it would make late", (t) => {
  // Reading 10,000 tokens takes the slow engine longer than the pause that its streams
  // may make. While the fast engine is only full for now, the prompt waits for it.
  const scheduler = createScheduler();
  fill(scheduler, FAST);
  scheduler.begin(SLOW);
  const prompt = { promptTokens: 10_000, pauseTarget: 300 };
  const long = buildCandidate("long", { ...prompt, onTimeUntil: 2_000 });
  scheduler.submit(long, 0);
  t.is(long.verdict, undefined);
  const late = buildCandidate("late", { ...prompt, onTimeUntil: 10 });
  scheduler.submit(late, 0);
  t.like(late.verdict, { kind: "place", upstream: { upstream: SLOW } });
});

test("the longer a stream runs at an engine that pauses, the likelier it is late", (t) => {
  const speed = new UpstreamSpeed();
  const pauses = new UpstreamPauses(speed);
  for (let index = 0; index < 50; index++) {
    const sample = { service: PLANS, duration: 1_000 };
    pauses.observe({ ...sample, upstream: FAST, latePauses: 0 });
    const latePauses = index % 5 === 0 ? 1 : 0;
    pauses.observe({ ...sample, upstream: SLOW, latePauses });
  }
  const risk = (upstream: UpstreamId, duration: number): number =>
    pauses.risk({ service: PLANS, upstream, duration });
  t.true(risk(FAST, 4_000) < 0.1);
  t.true(risk(SLOW, 4_000) > 0.4);
  t.true(risk(SLOW, 500) < 0.15);
});

test("a host that has just started believes its peers on speeds until it knows better", (t) => {
  const speed = new UpstreamSpeed();
  for (const [upstream, duration] of [[FAST, 10], [SLOW, 80]] as const) {
    speed.hear({ service: PLANS, upstream, duration });
  }
  t.true(speed.slowness(PLANS, SLOW) > 2 * speed.slowness(PLANS, FAST));
  for (let index = 0; index < 3; index++) {
    speed.observe({ service: PLANS, upstream: SLOW, duration: 10 });
  }
  t.true(speed.slowness(PLANS, SLOW) < 1);
});
