import test from "ava";
import { asId, type UpstreamId } from "@wasabivane/common";
import { PauseRiskModel, UpstreamSpeed } from "@wasabivane/admission";
import {
  buildCandidate,
  buildScheduler,
  buildUpstream,
  PLANS,
  type SchedulerBench,
} from "./helpers/build.ts";

const [FAST, SLOW] = [asId<UpstreamId>("u0"), asId<UpstreamId>("u1")];

/** Two upstreams of two places; the first works four times as fast. */
function createScheduler(): SchedulerBench {
  const bench = buildScheduler([buildUpstream(0), buildUpstream(1)]);
  const { speed, firstEvents } = bench.knowledge;
  for (let index = 0; index < 20; index++) {
    speed.observe({ service: PLANS, upstream: FAST, duration: 10 });
    speed.observe({ service: PLANS, upstream: SLOW, duration: 40 });
    for (const promptTokens of [100, 10_000]) {
      for (const [upstream, slowness] of [[FAST, 0.4], [SLOW, 1.6]] as const) {
        firstEvents.observe({
          service: PLANS,
          upstream,
          promptTokens,
          duration: slowness * (20 + promptTokens * 0.04),
        });
      }
    }
  }
  return bench;
}

/** Fills both places of an upstream. */
function fill({ begin }: SchedulerBench, upstream: UpstreamId): void {
  begin(upstream);
  begin(upstream);
}

test("a long answer leaves the slow engine to short ones while it can wait", (t) => {
  // The fast engine is full. At the slow one the long answer would still run at its
  // deadline, and its caller get half of it; the short one is done in time there.
  const bench = createScheduler();
  const { scheduler } = bench;
  fill(bench, FAST);
  const long = buildCandidate("long", {
    responseDuration: 4_000,
    deadline: 6_000,
  });
  const short = buildCandidate("short", {
    responseDuration: 100,
    deadline: 6_000,
  });
  scheduler.submit(long, 0);
  scheduler.submit(short, 0);
  t.is(long.verdict, undefined);
  t.like(short.verdict, { kind: "place", upstream: { upstream: SLOW } });
});

test("a long prompt is not read beside streams that it would make late", (t) => {
  // Reading 10,000 tokens takes the slow engine longer than the pause that its streams
  // may make. While the fast engine is only full for now, the prompt waits for it.
  const bench = createScheduler();
  const { scheduler, begin } = bench;
  fill(bench, FAST);
  begin(SLOW);
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
  const pauses = new PauseRiskModel(speed);
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
