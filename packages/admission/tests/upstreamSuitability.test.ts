import test from "ava";
import { asId, type UpstreamId } from "@wasabivane/common";
import { PauseRiskModel, UpstreamSpeed } from "@wasabivane/admission";
import {
  buildPendingRequest,
  buildScheduler,
  buildUpstream,
  PLANS,
  type SchedulerHarness,
} from "./helpers/build.ts";

const [FAST, SLOW] = [asId<UpstreamId>("u0"), asId<UpstreamId>("u1")];

/** Two upstreams with two slots each; the first is four times as fast. */
function createScheduler(): SchedulerHarness {
  const harness = buildScheduler([buildUpstream(0), buildUpstream(1)]);
  const { speed, firstEvents } = harness.stats;
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
  return harness;
}

/** Occupies both slots of an upstream. */
function fill({ begin }: SchedulerHarness, upstream: UpstreamId): void {
  begin(upstream);
  begin(upstream);
}

test("a long response leaves a slow upstream to short ones while it can wait", (t) => {
  // Guards against a long response at a slow upstream, where it would miss its
  // deadline.
  const harness = createScheduler();
  const { scheduler } = harness;
  fill(harness, FAST);
  const long = buildPendingRequest("long", {
    responseDuration: 4_000,
    deadline: 6_000,
  });
  const short = buildPendingRequest("short", {
    responseDuration: 100,
    deadline: 6_000,
  });
  scheduler.submit(long, 0);
  scheduler.submit(short, 0);
  t.is(long.decision, undefined);
  t.like(short.decision, { kind: "place", upstream: { upstream: SLOW } });
});

test("a long prompt is not placed beside streams that it would make late", (t) => {
  // Guards against a long prefill that pauses other streams of a slow upstream
  // for too long.
  const harness = createScheduler();
  const { scheduler, begin } = harness;
  fill(harness, FAST);
  begin(SLOW);
  const prompt = { promptTokens: 10_000, pauseTarget: 300 };
  const long = buildPendingRequest("long", { ...prompt, onTimeUntil: 2_000 });
  scheduler.submit(long, 0);
  t.is(long.decision, undefined);
  const late = buildPendingRequest("late", { ...prompt, onTimeUntil: 10 });
  scheduler.submit(late, 0);
  t.like(late.decision, { kind: "place", upstream: { upstream: SLOW } });
});

test("the risk of a late pause grows with the duration of a stream", (t) => {
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
