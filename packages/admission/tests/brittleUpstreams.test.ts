import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import { RejectionTolerances } from "@wasabivane/admission";
import test from "ava";
import { buildUpstream, PLANS, WEST } from "./helpers/build.ts";
import { type Replay, replayLoad } from "./helpers/loadReplay.ts";
import { disagreeOnCoordinator, halve, isolate } from "./helpers/partition.ts";

const BRITTLE_FROM: Milliseconds = 2_000;
/** Time until the upstreams let fewer requests wait. */
const NOTICE_MS: Milliseconds = 3_000;
const BRITTLE_UNTIL: Milliseconds = 14_000;
const TOLERATED = 4;
const WINDOW_MS: Milliseconds = 1_000;

/** Short requests that ask for more than the slots of six upstreams. */
const LOAD: Replay = {
  hosts: 20,
  upstreams: 6,
  slots: 6,
  speeds: [1],
  duration: 16_000,
  seed: 5,
  isCoordinated: true,
  failureDomains: [WEST],
  seedStep: 0x9e3779b1,
  tiers: [
    { tier: 1, rateAt: () => 250, work: 150, target: 800, usefulWithin: 2_000 },
  ],
};

interface BrittleResult {
  /** Upstreams that turned away more in a second than they tolerate. */
  readonly falls: number;
  readonly mostInSecond: number;
  readonly served: number;
}

/** Replays the load while the upstreams tolerate few rejections. */
function replayBrittle(changes: Partial<Replay> = {}): BrittleResult {
  const rejections = new Map<UpstreamId, Milliseconds[]>();
  const results = replayLoad({
    ...LOAD,
    brittle: {
      rejectionsPerSecond: TOLERATED,
      maximumQueue: 0,
      from: BRITTLE_FROM,
      until: BRITTLE_UNTIL,
      onReject: ({ upstream }, at) => {
        if (at < BRITTLE_FROM + NOTICE_MS) return;
        rejections.set(upstream, [...rejections.get(upstream) ?? [], at]);
      },
    },
    ...changes,
  });
  const busiest = [...rejections.values()].map(mostInWindow);
  const { onTime, late, submitted } = results.get(1)!;
  return {
    falls: busiest.filter((count) => count > TOLERATED).length,
    mostInSecond: Math.max(0, ...busiest),
    served: (onTime + late) / submitted,
  };
}

function mostInWindow(times: readonly Milliseconds[]): number {
  const counts = times.map((from) =>
    times.filter((at) => at >= from && at < from + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

const CASES: Readonly<Record<string, Partial<Replay>>> = {
  "one coordinator": {},
  "three coordinators at once": {
    onStart: (fleet, timer) => {
      timer.after(BRITTLE_FROM, () => disagreeOnCoordinator(fleet, 3));
    },
  },
  "two halves of the hosts that do not hear each other": {
    onStart: (fleet, timer) => {
      timer.after(BRITTLE_FROM + NOTICE_MS, () => halve(fleet));
    },
  },
  "hosts that each schedule alone": {
    onStart: (fleet, timer) => {
      timer.after(BRITTLE_FROM + NOTICE_MS, () => isolate(fleet));
    },
  },
  "a tenth of the messages lost": { loss: 0.1 },
};

for (const [name, changes] of Object.entries(CASES)) {
  test(`brittle upstreams turn away few requests with ${name}`, (t) => {
    // Guards against upstreams that fail under requests for which they have no
    // room, which no single host can count.
    const { falls, mostInSecond } = replayBrittle(changes);
    t.is(falls, 0, `${mostInSecond} of ${TOLERATED} in a second`);
  });
}

test("a service is used as before once its upstreams are no longer brittle", (t) => {
  const { upstream } = buildUpstream(0);
  const tolerances = new RejectionTolerances();
  tolerances.record(PLANS, 3, 0);
  tolerances.recordRejection(upstream, 100);
  t.true(tolerances.isExhausted({ upstream, service: PLANS }, 200));
  t.false(tolerances.isExhausted({ upstream, service: PLANS }, 1_600));
  tolerances.record(PLANS, undefined, 500);
  t.is(tolerances.of(PLANS), 3);
  tolerances.record(PLANS, undefined, 1_600);
  t.is(tolerances.of(PLANS), undefined);
});
