import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import {
  CoordinatorStartLimit,
  LocalStartLimit,
  UpstreamWarmup,
} from "@wasabivane/admission";
import { SeededRandom } from "@wasabivane/common";
import test from "ava";
import { buildUpstream, WEST } from "./helpers/build.ts";
import { type Replay, replayLoad } from "./helpers/loadReplay.ts";
import type { VirtualFleet } from "./helpers/virtualFleet.ts";

/** Starts in one second that a cold upstream bears over all hosts. */
const BOUND = 30;
const BACK_AT: Milliseconds = 1_000;
const COLD_FOR: Milliseconds = 3_000;

/** Short answers in a burst: an engine of 8 places could start 160 a second. */
const BURST: Replay = {
  hosts: 20,
  engines: 6,
  slots: 8,
  speeds: [1],
  duration: 4_000,
  seed: 3,
  areKeeping: true,
  failureDomains: [WEST],
  coldStarts: BOUND,
  seedStep: 0x9e3779b1,
  tiers: [
    { tier: 1, rateAt: () => 400, work: 50, target: 400, patience: 2_000 },
  ],
};

/** The most starts at one upstream in any second. */
function busiestSecond(
  sends: ReadonlyMap<UpstreamId, readonly Milliseconds[]>,
): number {
  let most = 0;
  for (const times of sends.values()) {
    for (const [index, at] of times.entries()) {
      const end = times.findIndex((other) => other > at + 1_000);
      most = Math.max(most, (end < 0 ? times.length : end) - index);
    }
  }
  return most;
}

/** Replays the burst; all engines return cold at {@link BACK_AT}, as each host has heard. */
function replayReturn(
  changes: Partial<Replay> = {},
  onReturn: (fleet: VirtualFleet) => void = () => {},
): number {
  const sends = new Map<UpstreamId, Milliseconds[]>();
  replayLoad({
    ...BURST,
    onStart: (fleet, timer) => {
      timer.after(BACK_AT, () => {
        onReturn(fleet);
        for (const { knowledge, directory } of fleet.hosts) {
          for (const { upstream } of directory.all()) {
            const now = timer.now();
            knowledge.warmup.update(upstream, { coldFor: COLD_FOR, now });
          }
        }
      });
    },
    onSend: ({ upstream }, at) => {
      const isCold = at >= BACK_AT && at < BACK_AT + COLD_FOR;
      if (!isCold) return;
      sends.set(upstream, [...sends.get(upstream) ?? [], at]);
    },
    ...changes,
  });
  return busiestSecond(sends);
}

test("a burst does not bring down upstreams that have just come back", (t) => {
  // Guards against cold engines that get all that waits and crash again.
  t.true(replayReturn() <= BOUND);
});

/** Cuts every two hosts from each other that do not belong together. */
function cut(
  { hosts, cuts }: VirtualFleet,
  isTogether: (index: number, other: number) => boolean,
): void {
  for (const [index, { host }] of hosts.entries()) {
    for (const [other, { host: to }] of hosts.entries()) {
      if (!isTogether(index, other)) cuts.add(`${host}>${to}`);
    }
  }
}

test("two keepers of one cell do not give a cold upstream too much together", (t) => {
  // Guards against hosts that disagree on who keeps the cell while they are cut off.
  const starts = replayReturn(
    {},
    (fleet) => cut(fleet, (index, other) => (index < 10) === (other < 10)),
  );
  t.true(starts <= BOUND);
});

test("hosts that decide alone leave a cold upstream nearly in peace", (t) => {
  // Guards against many hosts that each send a little to the same engine.
  const starts = replayReturn(
    { hosts: 60 },
    (fleet) => cut(fleet, (index, other) => index === other),
  );
  t.true(starts <= BOUND);
});

test("a warm upstream never gets more than it would bear if it turned cold unheard", (t) => {
  // Guards against an engine that turns cold before its entry says so.
  const sends = new Map<UpstreamId, Milliseconds[]>();
  replayLoad({
    ...BURST,
    onSend: ({ upstream }, at) =>
      sends.set(upstream, [...sends.get(upstream) ?? [], at]),
  });
  t.true(busiestSecond(sends) <= BOUND);
});

test("an upstream that was lost counts as cold when it gets work again", (t) => {
  // Guards against a restart under the same name that the list has yet to tell of.
  const warmth = new UpstreamWarmup();
  const { upstream } = buildUpstream(0);
  warmth.update(upstream, { coldFor: 0, now: 0 });
  t.true(warmth.isCold(upstream, 500));
  t.false(warmth.isCold(upstream, 1_500));
  warmth.recordLoss(upstream, 2_400);
  t.true(warmth.isCold(upstream, 5_000));
  t.false(warmth.isCold(upstream, 5_500));
});

test("an entry that says the same again does not make an upstream cold anew", (t) => {
  // Guards against lists that are fetched again and again and keep an engine cold.
  const warmth = new UpstreamWarmup();
  const { upstream } = buildUpstream(0);
  warmth.update(upstream, { coldFor: 3_000, now: 0 });
  warmth.update(upstream, { coldFor: 3_000, now: 2_000 });
  t.false(warmth.isCold(upstream, 3_100));
  warmth.update(upstream, { coldFor: 800, now: 3_200 });
  t.true(warmth.isCold(upstream, 3_900));
  warmth.update(upstream, { coldFor: 0, now: 4_000 });
  t.false(warmth.isCold(upstream, 4_000));
});

test("starts at upstreams that left are forgotten", (t) => {
  // Guards against a memory that grows with each release of a service.
  const warmth = new UpstreamWarmup();
  const limit = new CoordinatorStartLimit({
    coldStartsOf: () => 1,
    warmth,
    isCutOff: () => false,
  });
  for (let index = 0; index < 1_000; index++) {
    limit.recordStart(buildUpstream(index), 10 * index);
  }
  t.true(limit.isOpen(buildUpstream(0), 10_000));
  t.false(limit.isOpen(buildUpstream(999), 10_000));
  t.true(limit.size < 400);
});

test("upstreams of a service without a limit take any number of starts", (t) => {
  const options = {
    coldStartsOf: () => undefined,
    warmth: new UpstreamWarmup(),
  };
  const upstream = buildUpstream(0);
  const limits = [
    new CoordinatorStartLimit({ ...options, isCutOff: () => true }),
    new LocalStartLimit({
      ...options,
      hosts: () => 5,
      random: new SeededRandom(1),
    }),
  ];
  for (const limit of limits) {
    for (let count = 0; count < 200; count++) limit.recordStart(upstream, 0);
    t.true(limit.isOpen(upstream, 0));
  }
});
