import { asId, type FailureDomain, type Random } from "@wasabivane/common";
import test from "ava";
import {
  type Replay,
  replayLoad,
  type TierResult,
} from "./helpers/loadReplay.ts";

const DOMAINS = ["a", "b", "c"].map((name) => asId<FailureDomain>(name));
const BURST_FROM_MS = 2_000;

function tokens(least: number, more: number): (random: Random) => number {
  return (random) => least + more * random.float();
}

/**
 * Replays three kinds of requests at upstreams that process prompts one after
 * another.
 */
function replayOverload(load: number, seed: number): Map<number, TierResult> {
  const rate = (usual: number) => (at: number): number =>
    at > BURST_FROM_MS ? load * usual : usual;
  const replay: Replay = {
    hosts: 16,
    upstreams: 15,
    slots: 4,
    speeds: [0.7, 1.3, 1.3],
    duration: 9_000,
    seed,
    isCoordinated: true,
    isLearningLatency: true,
    failureDomains: DOMAINS,
    prefillTimePerToken: 0.03,
    tiers: [{
      tier: 1,
      rateAt: rate(50),
      work: 260,
      target: 415,
      usefulWithin: 2_250,
      promptTokens: tokens(500, 5_000),
    }, {
      tier: 2,
      rateAt: rate(100),
      work: 240,
      target: 808,
      usefulWithin: 1_800,
      promptTokens: tokens(300, 3_000),
    }, {
      tier: 3,
      rateAt: rate(16),
      work: 900,
      target: 1_006,
      usefulWithin: 3_000,
      promptTokens: tokens(300, 600),
    }],
  };
  return replayLoad(replay);
}

test("in lasting overload nine in ten served requests are on time", (t) => {
  // Guards against starting each request at the latest time that fits the mean
  // latency.
  for (const seed of [3, 5, 7]) {
    const { onTime, late } = replayOverload(2.2, seed).get(2)!;
    t.true(onTime >= 0.9 * (onTime + late), `${onTime} and ${late}`);
  }
});

test("upstreams stay busy although messages between hosts are slow", (t) => {
  // Guards against slots that stay empty while the next request is on its way
  // between slow hosts.
  const { submitted, onTime } = replayLoad({
    hosts: 16,
    upstreams: 15,
    slots: 4,
    speeds: [1],
    duration: 9_000,
    seed: 4,
    isCoordinated: true,
    isLearningLatency: true,
    delay: 35,
    failureDomains: DOMAINS,
    tiers: [{
      tier: 1,
      rateAt: () => 260,
      work: 200,
      target: 600,
      usefulWithin: 2_250,
    }],
  }).get(1)!;
  t.true(onTime > 0.9 * submitted, `${onTime} of ${submitted}`);
});
