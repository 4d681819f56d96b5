import type { Milliseconds } from "@wasabivane/common";
import test from "ava";
import { buildUpstream, WEST } from "./helpers/build.ts";
import { type Replay, replayLoad } from "./helpers/loadReplay.ts";
import { disagreeOnCoordinator, halve, isolate } from "./helpers/partition.ts";

/** Requests per second that the first upstream takes from all hosts. */
const NAMED_PER_SECOND = 2.5;
const NAMED_AT: Milliseconds = 2_000;
const NAMED_UNTIL: Milliseconds = 14_000;
/** Time within which all hosts must keep to a limit. */
const SETTLING_MS: Milliseconds = 3_000;
const WINDOW_MS: Milliseconds = 4_000;
/** Starts that are allowed in a window. */
const ALLOWED = 1.5 * NAMED_PER_SECOND * WINDOW_MS / 1_000 + 5;

const LIMITED = buildUpstream(0).upstream;

/** Short requests that keep every slot of six upstreams busy. */
const LOAD: Replay = {
  hosts: 20,
  upstreams: 6,
  slots: 8,
  speeds: [1],
  duration: 20_000,
  seed: 5,
  isCoordinated: true,
  failureDomains: [WEST],
  seedStep: 0x9e3779b1,
  tiers: [
    { tier: 1, rateAt: () => 200, work: 200, target: 800, usefulWithin: 2_000 },
  ],
};

/** Replays the load; returns the times of the starts at the limited upstream. */
function replayLimit(changes: Partial<Replay> = {}): Milliseconds[] {
  const starts: Milliseconds[] = [];
  replayLoad({
    ...LOAD,
    namedLimitOf: ({ upstream }, at) =>
      upstream === LIMITED && at >= NAMED_AT && at < NAMED_UNTIL
        ? NAMED_PER_SECOND
        : undefined,
    onSend: ({ upstream }, at) => {
      if (upstream === LIMITED) starts.push(at);
    },
    ...changes,
  });
  return starts;
}

/** Returns the most starts in a window while the limit holds. */
function busiestWindow(
  starts: readonly Milliseconds[],
  settledAt = NAMED_AT + SETTLING_MS,
): number {
  const limited = starts.filter((at) => at >= settledAt && at < NAMED_UNTIL);
  const counts = limited.map((from) =>
    limited.filter((at) => at >= from && at < from + WINDOW_MS).length
  );
  return Math.max(...counts);
}

test("an upstream gets no more requests than it names, from all hosts together", (t) => {
  // Guards against hosts that each keep to the limit, or do not read it.
  const most = busiestWindow(replayLimit());
  t.true(most <= ALLOWED, `${most} of ${ALLOWED}`);
  t.true(most > NAMED_PER_SECOND, `${most}`);
});

test("an upstream gets requests as before once it names no limit", (t) => {
  // Guards against a limit that outlasts the need.
  const starts = replayLimit();
  const countFrom = (from: Milliseconds): number =>
    starts.filter((at) => at >= from && at < from + 2_000).length;
  const before = countFrom(0);
  t.true(countFrom(NAMED_UNTIL + SETTLING_MS) > 0.5 * before, `${before}`);
});

test("two coordinators of one cell together keep to the limit of an upstream", (t) => {
  // Guards against a partition in which both coordinators use the whole limit.
  const starts = replayLimit({
    onStart: (fleet, timer) => {
      timer.after(NAMED_AT + SETTLING_MS, () => halve(fleet));
    },
  });
  const most = busiestWindow(starts);
  t.true(most <= ALLOWED, `${most} of ${ALLOWED}`);
});

test("hosts that schedule locally together keep to the limit of an upstream", (t) => {
  // Guards against a limit that only coordinators keep to.
  const isolatedAt = NAMED_AT + SETTLING_MS;
  const starts = replayLimit({
    onStart: (fleet, timer) => timer.after(isolatedAt, () => isolate(fleet)),
  });
  // Hosts that sent nothing there before learn of the limit by then.
  const most = busiestWindow(starts, isolatedAt + SETTLING_MS);
  t.true(most <= ALLOWED, `${most} of ${ALLOWED}`);
});

test("a new coordinator keeps to a limit that was named to others", (t) => {
  // Guards against a burst at the upstream after its coordinator has died.
  const starts = replayLimit({
    onStart: (fleet, timer) => {
      timer.after(NAMED_AT + 2 * SETTLING_MS, () => {
        for (const host of fleet.hosts) {
          if (host.coordinators.size > 0) host.isDead = true;
        }
      });
    },
  });
  const most = busiestWindow(starts);
  t.true(most <= ALLOWED, `${most} of ${ALLOWED}`);
});

for (const groups of [3, 8]) {
  test(`hosts that use ${groups} coordinators of one cell together keep to the limit of an upstream`, (t) => {
    // Guards against coordinators that each use the whole limit while hosts
    // pass over different ones.
    const starts = replayLimit({
      onStart: (fleet, timer) => {
        timer.after(
          NAMED_AT + SETTLING_MS,
          () => disagreeOnCoordinator(fleet, groups),
        );
      },
    });
    const most = busiestWindow(starts);
    t.true(most <= ALLOWED, `${most} of ${ALLOWED}`);
  });
}
