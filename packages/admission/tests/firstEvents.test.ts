import test from "ava";
import { asId, SeededRandom, type UpstreamId } from "@wasabivane/common";
import { FirstEventModel, UpstreamSpeed } from "@wasabivane/admission";
import {
  buildCandidate,
  buildScheduler,
  buildUpstream,
  PLANS,
  type SchedulerBench,
} from "./helpers/build.ts";

const FAST = asId<UpstreamId>("u0");
const SLOW = asId<UpstreamId>("u1");
/** The upstreams of these tests: the second takes three times as long. */
const PACES: readonly (readonly [UpstreamId, number])[] = [
  [FAST, 0.5],
  [SLOW, 1.5],
];
const BASE_MS = 40;
const TOKEN_MS = 0.04;

/** Prompts of 100 to 6,000 tokens at both upstreams. */
function teach(speed: UpstreamSpeed, firstEvents: FirstEventModel): void {
  const random = new SeededRandom(3);
  for (let count = 0; count < 300; count++) {
    const [upstream, pace] = PACES[count % 2]!;
    const promptTokens = 100 + Math.floor(5_900 * random.float());
    speed.observe({ service: PLANS, upstream, duration: 10 * pace });
    firstEvents.observe({
      service: PLANS,
      upstream,
      promptTokens,
      duration: pace * (BASE_MS + TOKEN_MS * promptTokens),
    });
  }
}

function createScheduler(): SchedulerBench {
  const bench = buildScheduler(
    [0, 1].map((index) => buildUpstream(index, { slots: 8 })),
  );
  teach(bench.knowledge.speed, bench.knowledge.firstEvents);
  return bench;
}

test("the time to the first event is learned by prompt and upstream", (t) => {
  const speed = new UpstreamSpeed();
  const firstEvents = new FirstEventModel(speed);
  teach(speed, firstEvents);
  for (const [upstream, pace] of PACES) {
    for (const promptTokens of [200, 3_000, 18_000]) {
      const real = pace * (BASE_MS + TOKEN_MS * promptTokens);
      const expected = firstEvents.expected(PLANS, { upstream, promptTokens });
      t.true(Math.abs(expected - real) < 0.25 * real);
    }
  }
});

test("a long prompt goes where it is on time, and waits for that if need be", (t) => {
  // A caller sends a prompt that a slow engine reads in 1.1 s and a fast one in
  // 0.4 s; 0.6 s are left. Only the slow engine has a place. Sent there, the
  // answer is late for certain; a place at the fast one comes within moments. Short
  // prompts take the slow place meanwhile, and the long one when time is up.
  const { scheduler, begin, end } = createScheduler();
  for (let count = 0; count < 8; count++) begin(FAST);
  const long = buildCandidate("long", {
    onTimeUntil: 600,
    promptTokens: 18_000,
  });
  const short = buildCandidate("short", { onTimeUntil: 600 });
  scheduler.submit(long, 0);
  scheduler.submit(short, 0);
  t.like(short.verdict, { kind: "place", upstream: { upstream: SLOW } });
  t.is(long.verdict, undefined);
  end(FAST, 20);
  t.like(long.verdict, { kind: "place", upstream: { upstream: FAST } });
});

test("a long prompt that cannot be on time anywhere takes the place there is", (t) => {
  const { scheduler, begin } = createScheduler();
  for (let count = 0; count < 8; count++) begin(FAST);
  const long = buildCandidate("long", {
    onTimeUntil: 300,
    promptTokens: 18_000,
  });
  scheduler.submit(long, 0);
  t.like(long.verdict, { kind: "place", upstream: { upstream: SLOW } });
});

test("prompts that are still read elsewhere count against a place", (t) => {
  // Two long prompts arrive together. At one engine the second would wait until
  // the first is read; at the other it begins at once.
  const { scheduler, begin } = createScheduler();
  begin(FAST, 18_000);
  const second = buildCandidate("second", {
    onTimeUntil: 500,
    promptTokens: 9_000,
  });
  scheduler.submit(second, 0);
  t.is(second.verdict, undefined);
  scheduler.load.endPrefill(FAST, 18_000);
  scheduler.review(10);
  t.like(second.verdict, { kind: "place", upstream: { upstream: FAST } });
});
