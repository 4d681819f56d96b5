import { type Milliseconds, VirtualTimer } from "@wasabivane/common";
import {
  MomentarySlowdown,
  type PromptPart,
  type Upstream,
} from "@wasabivane/admission";
import test from "ava";
import {
  buildPendingRequest,
  buildScheduler,
  buildUpstream,
  PLANS,
  WEST,
} from "./helpers/build.ts";
import { type Replay, replayLoad } from "./helpers/loadReplay.ts";
import { VirtualFleet } from "./helpers/virtualFleet.ts";

const UPSTREAMS = 6;
const SLOWED_MS: Milliseconds = 600;
const SLOWDOWN = 2.5;
const SEEDS = [100, 200, 300];
/** Requests per second: 0.6 and 0.85 of what the upstreams can do. */
const USUAL_RATE = 70;
const HIGH_RATE = 100;
/** Permitted loss of responses on time. */
const TOLERANCE = 0.02;

type SlowdownOf = (upstream: Upstream, at: Milliseconds) => number;

/** Each upstream in turn takes longer for a while. */
const inTurn: SlowdownOf = ({ upstream }, at) =>
  upstream === `u${Math.floor(at / SLOWED_MS) % UPSTREAMS}` ? SLOWDOWN : 1;
const allAtOnce: SlowdownOf = (_, at) =>
  at % (5 * SLOWED_MS) < SLOWED_MS ? SLOWDOWN : 1;
const never: SlowdownOf = () => 1;
const first = (said: number): SlowdownOf => ({ upstream }) =>
  upstream === "u0" ? said : 1;

/**
 * Returns the share of starts at slowed upstreams, and of responses on time.
 */
function replaySlowdowns(
  slowdownOf: SlowdownOf,
  { rate = USUAL_RATE, reported }: {
    rate?: number;
    reported?: Replay["reportedSlowdownOf"];
  } = {},
): { slowed: number; onTime: number } {
  const counts = { slowed: 0, starts: 0, onTime: 0, submitted: 0 };
  for (const seed of SEEDS) {
    const results = replayLoad({
      hosts: 4,
      upstreams: UPSTREAMS,
      slots: 4,
      speeds: [1],
      duration: 15_000,
      seed,
      seedStep: 0x9e3779b1,
      isCoordinated: true,
      isLearningLatency: true,
      isReportingLoad: true,
      isPlain: true,
      slowdownOf,
      ...reported !== undefined && { reportedSlowdownOf: reported },
      onSend: (upstream, at) => {
        counts.starts++;
        if (slowdownOf(upstream, at) > 1) counts.slowed++;
      },
      tiers: [{
        tier: 1,
        rateAt: () => rate,
        work: 200,
        target: 400,
        usefulWithin: 2_000,
      }],
    });
    const { submitted, onTime } = results.get(1)!;
    counts.submitted += submitted;
    counts.onTime += onTime;
  }
  return {
    slowed: counts.slowed / counts.starts,
    onTime: counts.onTime / counts.submitted,
  };
}

test("an upstream gets few requests while it reports that work takes longer", (t) => {
  // Guards against requests that go where they are certain to be late.
  const { slowed, onTime } = replaySlowdowns(inTurn, { reported: inTurn });
  t.true(slowed <= 0.06, `${slowed}`);
  t.true(onTime >= 0.97, `${onTime}`);
});

const HARMLESS: readonly {
  title: string;
  slowdownOf: SlowdownOf;
  reported: NonNullable<Replay["reportedSlowdownOf"]>;
}[] = [
  {
    title: "a slowdown of all upstreams at once",
    slowdownOf: allAtOnce,
    reported: allAtOnce,
  },
  {
    title: "an upstream that always reports 2.5 times the usual time",
    slowdownOf: never,
    reported: first(2.5),
  },
  {
    title: "an upstream that always reports 0.4 of the usual time",
    slowdownOf: never,
    reported: first(0.4),
  },
  {
    title: "an upstream that reports the largest figure",
    slowdownOf: never,
    reported: first(100),
  },
  {
    title: "an upstream whose figure changes for no reason",
    slowdownOf: never,
    reported: (upstream, at) => at % 600 < 300 ? first(2.5)(upstream, at) : 1,
  },
  {
    title: "a slowdown that only some upstreams report",
    slowdownOf: inTurn,
    reported: (upstream, at) =>
      upstream.upstream < "u3" ? inTurn(upstream, at) : undefined,
  },
];

for (const { title, slowdownOf, reported } of HARMLESS) {
  for (const rate of [USUAL_RATE, HIGH_RATE]) {
    test(`${title} costs no responses on time at ${rate} requests per second`, (t) => {
      // Guards against figures that are worse than none.
      const without = replaySlowdowns(slowdownOf, { rate });
      const { onTime } = replaySlowdowns(slowdownOf, { rate, reported });
      const bound = without.onTime - TOLERANCE;
      t.true(onTime >= bound, `${onTime} of ${bound}`);
    });
  }
}

test("figures that cannot be a multiple of the usual time change no decision", (t) => {
  // Guards against an absurd figure from a peer or an upstream.
  const without = replaySlowdowns(inTurn);
  for (const figure of [0, -2, Infinity, NaN, 101, undefined]) {
    const reported = (): number | undefined => figure;
    t.deepEqual(replaySlowdowns(inTurn, { reported }), without);
  }
});

const FIRST = { service: PLANS, upstream: buildUpstream(0).upstream };
const SECOND = { service: PLANS, upstream: buildUpstream(1).upstream };

/**
 * Feeds responses of an upstream that reports a slowdown in every other second;
 * returns its factor at the end of such a second.
 */
function learnFactor(isHonest: boolean): number {
  const slowdowns = new MomentarySlowdown();
  const usual = { ...FIRST, slowdown: 1 };
  slowdowns.record(usual, 0);
  let now = 0;
  for (let count = 0; count < 100; count++) {
    const slowdown = count % 10 < 5 ? 1 : SLOWDOWN;
    slowdowns.record({ ...usual, slowdown }, now);
    const period = { from: now, until: now + 200 };
    now += 200;
    const duration = isHonest ? 200 * slowdown : 200;
    slowdowns.observe({ ...FIRST, duration, period });
  }
  return slowdowns.factor(FIRST, now);
}

test("a figure that the times of responses contradict is trusted less", (t) => {
  // Guards against an upstream that loses or gains requests by a false figure.
  t.true(learnFactor(true) > 0.8 * SLOWDOWN);
  t.true(learnFactor(false) < 1.25);
});

test("a figure loses its effect with age", (t) => {
  // Guards against an upstream that is avoided for ever, as it reports nothing.
  const slowdowns = new MomentarySlowdown();
  slowdowns.record({ ...FIRST, slowdown: SLOWDOWN }, 0);
  t.is(slowdowns.factor(FIRST, 100), SLOWDOWN);
  t.true(slowdowns.factor(FIRST, 1_000) < 1.2);
  t.is(slowdowns.factor(FIRST, 3_000), 1);
});

test("a slowdown of all upstreams at once leaves their relative factor at 1", (t) => {
  const slowdowns = new MomentarySlowdown();
  for (const work of [FIRST, SECOND]) {
    slowdowns.record({ ...work, slowdown: SLOWDOWN }, 0);
  }
  t.is(slowdowns.relative(FIRST, 10), 1);
  slowdowns.forget(SECOND.upstream);
  t.is(slowdowns.relative(FIRST, 20), 1);
});

test("late responses of upstreams that have left do not count in the mean", (t) => {
  // Guards against restarts after which all upstreams seem slowed down.
  const slowdowns = new MomentarySlowdown();
  const workAt = (upstream: Upstream) => ({
    service: PLANS,
    upstream: upstream.upstream,
  });
  for (let index = 0; index < 12; index++) {
    const work = workAt(buildUpstream(index));
    slowdowns.record({ ...work, slowdown: SLOWDOWN }, 0);
    if (index >= UPSTREAMS) continue;
    slowdowns.forget(work.upstream);
    const period = { from: 0, until: 100 };
    slowdowns.observe({ ...work, duration: 100, period });
    slowdowns.record({ ...work, slowdown: 1 }, 0);
  }
  const relative = slowdowns.relative(workAt(buildUpstream(UPSTREAMS)), 10);
  t.true(Math.abs(relative - 1) < 0.01, `${relative}`);
});

test("the usual speed of an upstream is learned while it is slowed down", (t) => {
  // Guards against an upstream that counts as slow long after a slowdown.
  const { stats } = buildScheduler([]);
  for (let now = 0; now < 10_000; now += 500) {
    for (const work of [FIRST, SECOND]) {
      const slowdown = work === FIRST && now >= 2_000 ? SLOWDOWN : 1;
      stats.slowdowns.record({ ...work, slowdown }, now);
      const duration = 200 * slowdown;
      stats.slowdowns.record({ ...work, slowdown }, now + duration);
      stats.recordResponse({
        ...work,
        outcome: "whole",
        residence: duration,
        times: {
          route: "r" as never,
          expectedTokens: 0,
          promptTokens: 0,
          ownTokens: 0,
          latency: duration,
          events: 0,
          latePauses: 0,
        },
      }, now + duration);
    }
  }
  t.true(stats.speed.slowness(PLANS, FIRST.upstream) < 1.15);
});

/** Places a prompt that the first upstream, slowed down, has cached. */
function placeCached(tokens: number, slowdown: number): string | undefined {
  const upstreams = [0, 1].map((index) => buildUpstream(index));
  const { scheduler, stats } = buildScheduler(upstreams);
  for (let promptTokens = 0; promptTokens <= 6_000; promptTokens += 300) {
    for (const work of [FIRST, SECOND]) {
      const duration = 100 + promptTokens / 10;
      stats.firstEvents.observe({ ...work, promptTokens, duration });
    }
  }
  const parts: PromptPart[] = [{ part: "document", tokens }];
  const place = (name: string, excluded: string[]): string | undefined => {
    const pending = buildPendingRequest(name, {
      parts,
      promptTokens: tokens,
      onTimeUntil: 3_000,
      responseDuration: 100,
      excluded,
    });
    scheduler.submit(pending, 0);
    const { decision } = pending;
    return decision?.kind === "place" ? decision.upstream.upstream : undefined;
  };
  place("first", [SECOND.upstream]);
  stats.slowdowns.record({ ...FIRST, slowdown }, 0);
  stats.slowdowns.record({ ...SECOND, slowdown: 1 }, 0);
  return place("second", []);
}

test("a cached prompt is preferred where reading it again takes longer than the slowdown", (t) => {
  // Guards against both ignoring caches and ignoring slowdowns.
  t.is(placeCached(5_000, 1.5), FIRST.upstream);
  t.is(placeCached(5_000, SLOWDOWN), FIRST.upstream);
  t.is(placeCached(50, 4), SECOND.upstream);
});

test("a figure that changed by a quarter reaches the coordinator within 40 ms", (t) => {
  // Guards against figures that arrive after the slowdown.
  const timer = new VirtualTimer();
  const upstreams = [0, 1].map((index) => buildUpstream(index));
  const fleet = new VirtualFleet({
    timer,
    hosts: 2,
    upstreams,
    failureDomains: [WEST],
    seed: 1,
  });
  const [upstream] = upstreams;
  const { client } = fleet.hosts[0]!;
  const [cell] = client.cellsOf(PLANS);
  const coordinator = fleet.findHost(
    client.coordinators.coordinatorOf(cell!, 0),
  );
  const other = fleet.hosts.find((host) => host !== coordinator)!;
  const report = (slowdown: number): void =>
    other.client.recordUpstreamReport(upstream!, {
      requests: undefined,
      startsPerSecond: undefined,
      slowdown,
    }, timer.now());
  const factor = (): number =>
    coordinator.stats.slowdowns.factor(FIRST, timer.now());
  other.client.begin(FIRST.upstream, 0);
  report(1);
  timer.runUntil(100);
  report(1.2);
  timer.runUntil(200);
  t.is(factor(), 1);
  report(1.3);
  // A tick and the way to the coordinator come on top of the 40 ms.
  timer.runUntil(252);
  t.is(factor(), 1.3);
  report(1.1);
  timer.runUntil(400);
  t.is(factor(), 1.3);
  report(1);
  timer.runUntil(500);
  t.is(factor(), 1.3);
  report(0.9);
  timer.runUntil(552);
  t.is(factor(), 0.9);
});
