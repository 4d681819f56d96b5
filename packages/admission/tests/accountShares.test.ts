import {
  asId,
  type FailureDomain,
  type Milliseconds,
} from "@wasabivane/common";
import test from "ava";
import {
  type Replay,
  type ReplayedTier,
  replayLoad,
} from "./helpers/loadReplay.ts";

const WORK_MS: Milliseconds = 200;
/** Six upstreams of four slots, with the time between two requests. */
const CAPACITY_PER_SECOND = 117;
const FLEET: Omit<Replay, "tiers"> = {
  hosts: 4,
  upstreams: 6,
  slots: 4,
  speeds: [1],
  duration: 10_000,
  seed: 11,
  isCoordinated: true,
};
/** Share that an account under its share is served at least. */
const SMALL_SHARE = 0.85;
const DONE_SHARE = 0.85;

type Kind = Partial<ReplayedTier> & {
  /** Requests per second. */
  readonly rate: number;
  readonly length?: Milliseconds;
};

/** Requests of one account. */
interface Served {
  asked: number;
  served: number;
  /** Work of the served requests. */
  work: Milliseconds;
}

/** Replays one kind of requests for each account, named by its key. */
function replayAccounts(
  kinds: Readonly<Record<string, Kind>>,
  changes: Partial<Replay> = {},
): Record<string, Served> {
  const results: Record<string, Served> = {};
  const tiers = Object.entries(kinds).map(([account, kind]) => {
    const { rate, length = WORK_MS, ...rest } = kind;
    const result = { asked: 0, served: 0, work: 0 };
    results[account] = result;
    return {
      tier: 1,
      account,
      rateAt: () => rate,
      work: () => {
        result.asked++;
        return length;
      },
      target: 500,
      usefulWithin: 2_000,
      onEnd: (work: Milliseconds, isServed: boolean) => {
        if (!isServed) return;
        result.served++;
        result.work += work;
      },
      ...rest,
    };
  });
  replayLoad({ ...FLEET, ...changes, tiers });
  return results;
}

function shareServed({ asked, served }: Served): number {
  return served / asked;
}

function totalServed(results: Record<string, Served>): number {
  return Object.values(results).reduce((sum, { served }) => sum + served, 0);
}

function doneShare(results: Record<string, Served>): number {
  const capacity = CAPACITY_PER_SECOND * FLEET.duration / 1_000;
  return totalServed(results) / capacity;
}

const UNEVEN = {
  large: { rate: 300 },
  b: { rate: 20 },
  c: { rate: 20 },
  d: { rate: 20 },
};
const SMALL = ["b", "c", "d"] as const;

test("small accounts are served beside one that asks for far more than its share", (t) => {
  // Guards against one account that takes the slots of all others.
  const results = replayAccounts(UNEVEN);
  for (const name of SMALL) {
    t.true(shareServed(results[name]!) >= SMALL_SHARE);
  }
  t.true(doneShare(results) >= DONE_SHARE);
});

test("small accounts are served beside a large one whose callers use one host", (t) => {
  // Guards against shares that hold for hosts instead of accounts.
  const results = replayAccounts({
    ...UNEVEN,
    large: { rate: 300, usesHost: ({ host }) => host === "h1" },
  });
  for (const name of SMALL) {
    t.true(shareServed(results[name]!) >= SMALL_SHARE);
  }
  t.true(doneShare(results) >= DONE_SHARE);
});

test("small accounts are served beside two large ones, which share the rest", (t) => {
  // Guards against a second large account that is counted as a small one.
  const results = replayAccounts({
    large: { rate: 200 },
    second: { rate: 150 },
    b: { rate: 15 },
    c: { rate: 15 },
    d: { rate: 15 },
  });
  for (const name of SMALL) {
    t.true(shareServed(results[name]!) >= SMALL_SHARE);
  }
  t.true(doneShare(results) >= DONE_SHARE);
  const rest = (CAPACITY_PER_SECOND - 45) * FLEET.duration / 1_000;
  t.true(results["large"]!.served >= SMALL_SHARE * rest / 2);
  t.true(results["second"]!.served >= SMALL_SHARE * rest / 2);
});

for (const index of [0, 1, 2, 3]) {
  test(`small accounts are served while host ${index} of four is killed and returns`, (t) => {
    // Guards against shares that are lost with a host or a coordinator.
    const results = replayAccounts(UNEVEN, {
      onStart: (fleet, timer) => {
        const host = fleet.hosts[index]!;
        timer.after(4_000, () => {
          host.isDead = true;
          timer.after(1_500, () => host.restart());
        });
      },
    });
    for (const name of SMALL) t.true(shareServed(results[name]!) >= 0.7);
  });
}

test("a replaced coordinator keeps the shares", (t) => {
  // Guards against a new coordinator that favours the accounts with the longest
  // queues.
  let dead = 0;
  const results = replayAccounts(UNEVEN, {
    onStart: (fleet, timer) => {
      timer.after(4_000, () => {
        for (const host of fleet.hosts) {
          if (host.coordinators.size === 0) continue;
          host.isDead = true;
          dead++;
        }
      });
    },
  });
  t.is(dead, 1);
  for (const name of SMALL) {
    t.true(shareServed(results[name]!) >= SMALL_SHARE);
  }
});

test("the coordinators of two cells both keep the shares", (t) => {
  // Guards against an account that takes a whole cell.
  let cells: number | undefined;
  const results = replayAccounts({
    large: { rate: 2_000 },
    b: { rate: 130 },
    c: { rate: 130 },
    d: { rate: 130 },
  }, {
    // Enough slots for one cell in each failure domain.
    upstreams: 40,
    duration: 4_000,
    failureDomains: ["a", "b"].map((name) => asId<FailureDomain>(name)),
    onStart: (fleet, timer) => {
      timer.after(2_000, () => {
        cells = new Set(
          fleet.hosts.flatMap(({ coordinators }) => [...coordinators.keys()]),
        ).size;
      });
    },
  });
  t.is(cells, 2);
  for (const name of SMALL) {
    t.true(shareServed(results[name]!) >= SMALL_SHARE);
  }
  const capacity = CAPACITY_PER_SECOND * 40 / FLEET.upstreams * 4;
  t.true(totalServed(results) >= DONE_SHARE * capacity);
});

test("small accounts are served beside large ones where requests and targets are short", (t) => {
  // Guards against small accounts that wait until each large one has started
  // several requests, which takes longer than their target with few slots.
  const large = { rate: 60, length: 43, target: 199 };
  const small = { ...large, rate: 5 };
  const results = replayAccounts({
    large,
    second: large,
    third: large,
    b: small,
    c: small,
    d: small,
  }, { upstreams: 3, slots: 1, isLearningLatency: true });
  for (const name of SMALL) {
    t.true(shareServed(results[name]!) >= SMALL_SHARE);
  }
});

test("all requests are served where capacity suffices", (t) => {
  // Guards against shares that refuse requests although slots are free.
  const results = replayAccounts({
    large: { rate: 60 },
    b: { rate: 5 },
    c: { rate: 5 },
    d: { rate: 5 },
  });
  for (const result of Object.values(results)) {
    t.is(result.served, result.asked);
  }
});

test("an account alone gets all capacity, as without an account", (t) => {
  // Guards against shares that limit an account without competitors.
  const alone = replayAccounts({ large: { rate: 300 } });
  const unnamed = replayAccounts({ "": { rate: 300 } });
  t.true(doneShare(alone) >= DONE_SHARE);
  t.deepEqual(alone["large"], unnamed[""]);
});

test("an idle account that begins to send does not starve the others", (t) => {
  // Guards against an account that saves up credit while it sends nothing.
  const results = replayAccounts({
    usual: { rate: 100 },
    b: { rate: 20 },
    c: { rate: 20 },
    idle: { rate: 300, from: 6_000 },
  });
  t.true(shareServed(results["b"]!) >= SMALL_SHARE);
  t.true(shareServed(results["c"]!) >= SMALL_SHARE);
});

test("accounts with requests of different sizes share the work, not the count", (t) => {
  // Guards against an account that gets more work done with longer requests.
  const results = replayAccounts({
    short: { rate: 300, length: 100 },
    long: { rate: 100, length: 800, target: 1_000 },
  }, { isLearningLatency: true });
  const half = 24 * FLEET.duration / 2;
  t.true(results["short"]!.work >= DONE_SHARE * half);
  t.true(results["long"]!.work >= DONE_SHARE * half);
});

test("an account over its share keeps the precedence of its more urgent tier", (t) => {
  // Guards against shares that start a lower tier before a higher one.
  const results = replayAccounts({
    urgent: { rate: 90, tier: 0 },
    b: { rate: 20 },
    large: { rate: 200 },
  });
  t.true(shareServed(results["urgent"]!) >= 0.97);
  t.true(shareServed(results["b"]!) > shareServed(results["large"]!));
});
