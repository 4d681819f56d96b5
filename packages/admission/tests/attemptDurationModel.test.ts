import { asId, SeededRandom, type ServiceId } from "@wasabivane/common";
import test from "ava";
import { type RouteId, UpstreamStats } from "@wasabivane/admission";

const WORK = {
  route: asId<RouteId>("r"),
  service: asId<ServiceId>("s"),
  promptTokens: 0,
  expectedTokens: 0,
} as const;

function record(
  stats: UpstreamStats,
  { duration, expectedTokens = 0 }: {
    duration: number;
    expectedTokens?: number;
  },
): void {
  const times = {
    ...WORK,
    expectedTokens,
    ownTokens: 0,
    latency: duration,
    events: 0,
    latePauses: 0,
  };
  stats.record({
    upstream: asId("u"),
    service: WORK.service,
    outcome: "whole",
    residence: duration,
    times,
  }, 1);
}

test("few attempts last longer than the estimate, however they vary", (t) => {
  // Guards against an estimate by the mean, which half of the attempts exceed.
  for (const durations of [[300], [300, 1_000, 2_500], [100, 110, 4_000]]) {
    const random = new SeededRandom(1);
    const stats = new UpstreamStats();
    t.is(stats.attemptDurations.longest(WORK), undefined);
    for (let count = 0; count < 300; count++) {
      const duration = random.pick(durations) * (0.9 + 0.2 * random.float());
      record(stats, { duration });
    }
    const longest = stats.attemptDurations.longest(WORK)!;
    const most = Math.max(...durations);
    t.true(longest >= most, `${longest} for ${durations.join()}`);
    t.true(longest < 2 * most + 200, `${longest} for ${durations.join()}`);
  }
});

test("one short attempt does not make all look as short", (t) => {
  // Guards against requests that are taken on the strength of one sample.
  const stats = new UpstreamStats();
  record(stats, { duration: 400 });
  t.true(stats.attemptDurations.longest(WORK)! >= 800);
});
