import test from "ava";
import type { Milliseconds } from "@wasabivane/common";
import {
  type Replay,
  type ReplayedTier,
  replayLoad,
  type TierResult,
} from "./helpers/loadReplay.ts";

const BURST_FROM: Milliseconds = 4_000;
const BURST_UNTIL: Milliseconds = 9_000;

/** Returns a constant arrival rate with a burst in between. */
function burst(usual: number, factor: number): ReplayedTier["rateAt"] {
  return (at) => at >= BURST_FROM && at < BURST_UNTIL ? usual * factor : usual;
}

const FLEET: Omit<Replay, "tiers" | "isCoordinated"> = {
  hosts: 8,
  upstreams: 13,
  slots: 8,
  speeds: [0.6, 1.7, 1.7],
  duration: 15_000,
  seed: 7,
};

function shareOnTime({ submitted, onTime }: TierResult): number {
  return onTime / submitted;
}

test("a burst of all tiers does not delay the most urgent one", (t) => {
  // Guards against urgent requests that queue behind long ones inside the
  // upstreams.
  const results = replayLoad({
    ...FLEET,
    isCoordinated: true,
    tiers: [
      {
        tier: 1,
        rateAt: burst(60, 2.5),
        work: 300,
        target: 400,
        usefulWithin: 1_500,
      },
      {
        tier: 3,
        rateAt: burst(50, 2.5),
        work: 1_500,
        target: 900,
        usefulWithin: 3_000,
      },
    ],
  });
  t.true(shareOnTime(results.get(1)!) > 0.97);
  const last = results.get(3)!;
  t.true(last.refused > 0);
  t.true(last.onTime + last.late > last.submitted * 0.5);
});

test("a coordinator avoids queueing inside the upstreams", (t) => {
  // Guards against hosts that overfill some upstreams because each sees only
  // its own load.
  const tiers = [
    { tier: 1, rateAt: () => 230, work: 500, target: 60, usefulWithin: 1_500 },
  ];
  const alone = replayLoad({ ...FLEET, tiers, isCoordinated: false });
  const kept = replayLoad({ ...FLEET, tiers, isCoordinated: true });
  t.true(shareOnTime(alone.get(1)!) < 0.3);
  t.true(shareOnTime(kept.get(1)!) > 0.85);
});

test("the fleet recovers after a burst", (t) => {
  // Guards against requests that wait in vain and delay those after the burst.
  let lateAsked = 0;
  const results = replayLoad({
    ...FLEET,
    isCoordinated: true,
    duration: 12_000,
    tiers: [
      {
        tier: 1,
        rateAt: (at) => {
          if (at >= BURST_FROM && at < 6_000) return 400;
          if (at > 9_000) lateAsked++;
          return 100;
        },
        work: 500,
        target: 300,
        usefulWithin: 1_500,
      },
    ],
  });
  const { submitted, onTime } = results.get(1)!;
  t.true(lateAsked > 0);
  t.true(onTime / submitted > 0.7);
});

test("long prompts among short ones are on time at upstreams of different speeds", (t) => {
  // Guards against estimates that ignore the prompt length and place long
  // prompts at slow upstreams.
  const load: Replay = {
    ...FLEET,
    isCoordinated: true,
    prefillTimePerToken: 0.022,
    speeds: [2, 0.6, 0.6],
    tiers: [
      {
        tier: 1,
        rateAt: () => 150,
        work: 250,
        target: 300,
        usefulWithin: 1_500,
        promptTokens: (random) => random.float() < 0.3 ? 9_000 : 900,
      },
    ],
  };
  const learning = replayLoad({ ...load, isLearningLatency: true }).get(1)!;
  const constant = replayLoad({ ...load, isLearningLatency: false }).get(1)!;
  t.true(shareOnTime(learning) > 0.92);
  t.true(1 - shareOnTime(learning) < 0.5 * (1 - shareOnTime(constant)));
});

test("short requests of the last tier are served beside long requests of the first", (t) => {
  // Guards against short requests of a low tier that starve behind long
  // requests of a high tier.
  const long: ReplayedTier = {
    tier: 1,
    rateAt: burst(62, 1.6),
    work: 1_500,
    target: 1_000,
    usefulWithin: 3_000,
  };
  const short: ReplayedTier = {
    tier: 3,
    rateAt: () => 60,
    work: 100,
    target: 500,
    usefulWithin: 2_000,
  };
  const both = replayLoad({
    ...FLEET,
    isCoordinated: true,
    tiers: [long, short],
  });
  const alone = replayLoad({ ...FLEET, isCoordinated: true, tiers: [long] });
  t.true(shareOnTime(both.get(3)!) > 0.9);
  t.true(shareOnTime(both.get(1)!) > shareOnTime(alone.get(1)!) - 0.06);
});

test("the longest tenth of requests is served at least half as often as all requests", (t) => {
  // Guards against long requests that starve because short ones start first.
  const endings: { work: number; isServed: boolean }[] = [];
  replayLoad({
    ...FLEET,
    isCoordinated: true,
    tiers: [{
      tier: 1,
      rateAt: burst(90, 1.8),
      work: (random) => 100 * Math.exp(4.6 * random.float()),
      target: 500,
      usefulWithin: 3_000,
      onEnd: (work, isServed) => endings.push({ work, isServed }),
    }],
  });
  const byWork = endings.toSorted((left, right) => right.work - left.work);
  const longest = byWork.slice(0, Math.floor(byWork.length / 10));
  const shareServed = (part: typeof endings): number =>
    part.filter(({ isServed }) => isServed).length / part.length;
  t.true(shareServed(longest) > 0.5 * shareServed(endings));
});
