import test from "ava";
import { asId, SeededRandom, type UpstreamId } from "@wasabivane/common";
import { FirstEventModel, UpstreamSpeed } from "@wasabivane/admission";
import {
  buildPendingRequest,
  buildScheduler,
  buildUpstream,
  PLANS,
  type SchedulerHarness,
} from "./helpers/build.ts";

const FAST = asId<UpstreamId>("u0");
const SLOW = asId<UpstreamId>("u1");
/**
 * Relative durations at the upstreams; the second takes three times as long.
 */
const DURATION_FACTORS: readonly (readonly [UpstreamId, number])[] = [
  [FAST, 0.5],
  [SLOW, 1.5],
];
const BASE_MS = 40;
const TOKEN_MS = 0.04;

/** Trains the models with prompts of 100 to 6,000 tokens at both upstreams. */
function train(speed: UpstreamSpeed, firstEvents: FirstEventModel): void {
  const random = new SeededRandom(3);
  for (let count = 0; count < 300; count++) {
    const [upstream, factor] = DURATION_FACTORS[count % 2]!;
    const promptTokens = 100 + Math.floor(5_900 * random.float());
    speed.observe({ service: PLANS, upstream, duration: 10 * factor });
    firstEvents.observe({
      service: PLANS,
      upstream,
      promptTokens,
      duration: factor * (BASE_MS + TOKEN_MS * promptTokens),
    });
  }
}

function createScheduler(): SchedulerHarness {
  const harness = buildScheduler(
    [0, 1].map((index) => buildUpstream(index, { slots: 8 })),
  );
  train(harness.stats.speed, harness.stats.firstEvents);
  return harness;
}

test("the time to the first event is learned by prompt length and upstream", (t) => {
  const speed = new UpstreamSpeed();
  const firstEvents = new FirstEventModel(speed);
  train(speed, firstEvents);
  for (const [upstream, factor] of DURATION_FACTORS) {
    for (const promptTokens of [200, 3_000, 18_000]) {
      const real = factor * (BASE_MS + TOKEN_MS * promptTokens);
      const expected = firstEvents.expected(PLANS, { upstream, promptTokens });
      t.true(Math.abs(expected - real) < 0.25 * real);
    }
  }
});

test("a long prompt waits for an upstream where it can be on time", (t) => {
  // Guards against placing a long prompt at a slow upstream where it is late,
  // although a fast one has a free slot in time.
  const { scheduler, begin, end } = createScheduler();
  for (let count = 0; count < 8; count++) begin(FAST);
  const long = buildPendingRequest("long", {
    onTimeUntil: 600,
    promptTokens: 18_000,
  });
  const short = buildPendingRequest("short", { onTimeUntil: 600 });
  scheduler.submit(long, 0);
  scheduler.submit(short, 0);
  t.like(short.decision, { kind: "place", upstream: { upstream: SLOW } });
  t.is(long.decision, undefined);
  end(FAST, 20);
  t.like(long.decision, { kind: "place", upstream: { upstream: FAST } });
});

test("a long prompt that cannot be on time anywhere takes any free slot", (t) => {
  const { scheduler, begin } = createScheduler();
  for (let count = 0; count < 8; count++) begin(FAST);
  const long = buildPendingRequest("long", {
    onTimeUntil: 300,
    promptTokens: 18_000,
  });
  scheduler.submit(long, 0);
  t.like(long.decision, { kind: "place", upstream: { upstream: SLOW } });
});

test("unprocessed prompts of an upstream count against its slots", (t) => {
  // Guards against ignoring prompts that an upstream has yet to process.
  const { scheduler, begin } = createScheduler();
  begin(FAST, 18_000);
  const second = buildPendingRequest("second", {
    onTimeUntil: 500,
    promptTokens: 9_000,
  });
  scheduler.submit(second, 0);
  t.is(second.decision, undefined);
  scheduler.load.endPrefill(FAST, 18_000);
  scheduler.review(10);
  t.like(second.decision, { kind: "place", upstream: { upstream: FAST } });
});
