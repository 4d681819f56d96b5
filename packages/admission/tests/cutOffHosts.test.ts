import type { HostId, Milliseconds } from "@wasabivane/common";
import test from "ava";
import { WEST } from "./helpers/build.ts";
import { type Replay, replayLoad } from "./helpers/loadReplay.ts";

const CUT_FROM: Milliseconds = 5_000;
const CUT_UNTIL: Milliseconds = 15_000;
/** Time until the cut must no longer affect hosts in touch. */
const SETTLE_MS: Milliseconds = 3_000;

/** Load that keeps two thirds of the slots of 13 upstreams busy. */
const LOAD: Replay = {
  hosts: 7,
  upstreams: 13,
  slots: 7,
  speeds: [1],
  duration: 16_000,
  seed: 3,
  isCoordinated: true,
  failureDomains: [WEST],
  seedStep: 0x9e3779b1,
  coldStarts: 10,
  tiers: [],
};

/**
 * Replays the load while the hosts of some indices reach no upstream; returns
 * the share of requests at the other hosts that are served meanwhile.
 */
function servedInTouch(
  cutOff: readonly number[],
  changes: Partial<Replay> = {},
): number {
  const names = new Set(cutOff.map((index) => `h${index}` as HostId));
  let [submitted, served] = [0, 0];
  let now: Milliseconds = 0;
  replayLoad({
    ...LOAD,
    onStart: (_fleet, timer) => {
      timer.every(10, () => (now = timer.now()));
    },
    canConnect: ({ host }, _upstream, at) =>
      at < CUT_FROM || at >= CUT_UNTIL || !names.has(host),
    tiers: [{
      tier: 1,
      rateAt: () => 60,
      work: 1_000,
      target: 1_500,
      usefulWithin: 4_000,
      onEnd: (_work, isServed, { host }) => {
        const isCounted = !names.has(host) && now >= CUT_FROM + SETTLE_MS &&
          now < CUT_UNTIL;
        if (!isCounted) return;
        submitted++;
        if (isServed) served++;
      },
    }],
    ...changes,
  });
  return served / submitted;
}

for (const seed of [3, 4, 5]) {
  for (const cutOff of [[0, 1, 2, 3], [4, 5, 6]]) {
    test(`hosts in touch are served while ${cutOff.length} others reach no upstream (seed ${seed})`, (t) => {
      // Guards against broken links of some hosts that take upstreams from all.
      t.true(servedInTouch(cutOff, { seed }) >= 0.95);
    });
  }
}
