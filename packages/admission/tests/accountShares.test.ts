import {
  asId,
  asTier,
  type ClientAccountId,
  type FailureDomain,
  type Milliseconds,
  type RequestId,
  VirtualTimer,
} from "@wasabivane/common";
import { type QueuedRequest, RequestQueue } from "@wasabivane/admission";
import test from "ava";
import fc from "fast-check";
import { AccountShare } from "../src/accountShares.ts";
import { RankQueue } from "../src/rankQueue.ts";
import { WorkSteps } from "../src/workSteps.ts";
import {
  buildPendingRequest,
  buildPlacementRequest,
  buildScheduler,
  buildUpstream,
  PLANS,
  WEST,
} from "./helpers/build.ts";
import {
  type Replay,
  type ReplayedTier,
  replayLoad,
} from "./helpers/loadReplay.ts";
import { VirtualFleet } from "./helpers/virtualFleet.ts";

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

/** Builds a queued request of one tier; all are of the same length. */
function buildRequest(
  name: string,
  { account, ...changes }: Partial<Omit<QueuedRequest, "account">> & {
    account: string;
  },
): QueuedRequest {
  return {
    request: asId<RequestId>(name),
    tier: asTier(1),
    since: 0,
    onTimeUntil: 10_000,
    usefulUntil: 20_000,
    slotTime: 200,
    account: asId<ClientAccountId>(account),
    ...changes,
  };
}

/** A queue with a function that adds equal requests, and one that starts them. */
function buildQueue(): {
  queue: RequestQueue<QueuedRequest>;
  add: (
    account: string,
    options?: Partial<QueuedRequest> & { count?: number },
  ) => QueuedRequest[];
  /** Starts the next requests, of one tier if given; returns their accounts. */
  startNext: (count: number, tier?: number) => string[];
} {
  const queue = new RequestQueue<QueuedRequest>();
  let added = 0;
  return {
    queue,
    add: (account, { count = 1, ...changes } = {}) =>
      Array.from({ length: count }, () => {
        const item = buildRequest(`r${added++}`, {
          slotTime: 300,
          ...changes,
          account,
        });
        queue.push(item, 0);
        return item;
      }),
    startNext: (count, tier) => {
      const canStart = (item: QueuedRequest): boolean =>
        tier === undefined || item.tier === tier;
      const accounts: string[] = [];
      for (let index = 0; index < count; index++) {
        const [first] = queue.inOrder(0, { maximum: 1, canStart });
        queue.start(first!.request, 0);
        accounts.push(`${first!.account}`);
      }
      return accounts;
    },
  };
}

/** What an account without received work does before others begin to wait. */
const EVENTS: Readonly<
  Record<string, (scene: ReturnType<typeof buildQueue>) => void>
> = {
  "no event": () => {},
  "a start in a more urgent tier": ({ add, startNext }) => {
    add("a", { tier: asTier(0) });
    startNext(1);
  },
  "a waiting continuation": ({ add }) => {
    add("a", { isContinuation: true });
  },
  "a start of a continuation": ({ add, startNext }) => {
    add("a", { isContinuation: true });
    startNext(1);
  },
};

for (const [name, happen] of Object.entries(EVENTS)) {
  test(`an account that joins shares equally with a busy one after ${name}`, (t) => {
    // Guards against a clock that goes back, which gives newcomers a credit.
    const scene = buildQueue();
    scene.add("b", { count: 1_000 });
    scene.startNext(1_000);
    happen(scene);
    scene.add("c", { count: 200 });
    scene.add("b", { count: 200 });
    const started = scene.startNext(200).filter((account) => account === "b");
    t.true(started.length >= 95 && started.length <= 105, `${started.length}`);
  });
}

test("starts in a less urgent tier do not delay an account's urgent requests", (t) => {
  // Guards against an account that pays in tier 0 for spare capacity of tier 2.
  const { add, startNext } = buildQueue();
  add("other", { tier: asTier(0), count: 40 });
  add("both", { tier: asTier(2), count: 60 });
  startNext(60, 2);
  add("both", { tier: asTier(0), count: 40 });
  const started = startNext(40, 0).filter((account) => account === "both");
  t.true(started.length >= 18 && started.length <= 22, `${started.length}`);
});

test("starts in a more urgent tier count in a less urgent one", (t) => {
  // Guards against an account that gets its share once more in each tier.
  const { add, startNext } = buildQueue();
  add("other", { tier: asTier(2), count: 80 });
  add("both", { tier: asTier(2), count: 80 });
  add("both", { tier: asTier(0), count: 40 });
  startNext(40, 0);
  const count = (accounts: string[]): number =>
    accounts.filter((account) => account === "both").length;
  const [first, next] = [count(startNext(40, 2)), count(startNext(40, 2))];
  t.true(first <= 2, `${first}`);
  t.true(next >= 18 && next <= 22, `${next}`);
});

test("requests start in the order that the queue shows, with the estimated number before them", (t) => {
  // Guards against estimates that do not follow the order of starts.
  const steps = fc.array(
    fc.record({
      account: fc.constantFrom("a", "b", "c"),
      due: fc.integer({ min: 1, max: 4 }).map((due) => 100 * due),
      starts: fc.boolean(),
    }),
    { minLength: 1, maxLength: 60 },
  );
  fc.assert(
    fc.property(steps, (taken) => {
      const queue = new RequestQueue<QueuedRequest>();
      for (const [index, { starts, account, due }] of taken.entries()) {
        const onTimeUntil = due + index;
        queue.push(buildRequest(`r${index}`, { account, onTimeUntil }), index);
        const [first] = queue.inOrder(index, { maximum: 1 });
        if (starts) queue.start(first!.request, index);
      }
      const order = queue.inOrder(60);
      for (const [index, item] of order.entries()) {
        t.is(queue.estimate(item, 60).ahead, index);
      }
      for (const item of order) {
        t.is(queue.inOrder(60, { maximum: 1 })[0], item);
        queue.start(item.request, 60);
      }
    }),
    { seed: 3, numRuns: 200 },
  );
});

test("a refusal tells whether it is due to the shares of accounts", (t) => {
  // Guards against logs that blame an account's share for a lack of capacity.
  const queue = new RequestQueue<QueuedRequest>();
  const push = (
    count: number,
    { account, onTimeUntil }: { account: string; onTimeUntil: Milliseconds },
  ): void => {
    for (let index = 0; index < count; index++) {
      const name = `${account}-${onTimeUntil}-${index}`;
      queue.push(buildRequest(name, { account, onTimeUntil }), 1_500);
    }
  };
  // Twenty requests start per second, and ten are left.
  for (let index = 0; index < 40; index++) {
    const changes = { account: "large", onTimeUntil: 2_000 };
    queue.push(buildRequest(`l${index}`, changes), 0);
  }
  for (let now = 50; now <= 1_500; now += 50) {
    const [first] = queue.inOrder(now, { maximum: 1 });
    queue.start(first!.request, now);
  }
  const item = buildRequest("item", { account: "large", onTimeUntil: 2_200 });
  t.false(queue.shouldRefuse(item, 1_500));
  push(20, { account: "small", onTimeUntil: 3_000 });
  t.true(queue.shouldRefuse(item, 1_500));
  t.true(queue.isRefusedByShare(item, 1_500));
  push(10, { account: "large", onTimeUntil: 2_100 });
  t.false(queue.isRefusedByShare(item, 1_500));
});

test("a refusal is decided as the estimate shows, with one or more accounts", (t) => {
  // Guards against a count that ends before the refusal is certain.
  const arrivals = fc.array(
    fc.record({
      account: fc.constantFrom("a", "b", "c"),
      until: fc.integer({ min: 0, max: 3_000 }),
      useful: fc.integer({ min: 0, max: 3_000 }),
      tier: fc.integer({ min: 0, max: 1 }).map(asTier),
      starts: fc.boolean(),
    }),
    { minLength: 20, maxLength: 80 },
  );
  const seen = new Set<boolean>();
  fc.assert(
    fc.property(arrivals, (taken) => {
      const queue = new RequestQueue<QueuedRequest>();
      for (const [index, arrival] of taken.entries()) {
        const { until, useful, starts, ...rest } = arrival;
        const now = 40 * index;
        const onTimeUntil = now - 500 + until;
        const usefulUntil = onTimeUntil + useful;
        const item = buildRequest(`r${index}`, {
          ...rest,
          onTimeUntil,
          usefulUntil,
        });
        const { ahead, wait } = queue.estimate(item, now);
        const latest = onTimeUntil <= now ? usefulUntil : onTimeUntil;
        const isTooLate = ahead > 0 && now + wait > latest;
        seen.add(isTooLate);
        t.is(queue.shouldRefuse(item, now), isTooLate);
        queue.push(item, now);
        const [first] = queue.inOrder(now, { maximum: 1 });
        if (starts) queue.start(first!.request, now);
      }
    }),
    { seed: 7, numRuns: 200 },
  );
  t.is(seen.size, 2);
});

test("a bounded count of the requests ahead visits only as many accounts", (t) => {
  // Guards against arrivals whose cost grows with the number of accounts.
  const queue = new RankQueue<QueuedRequest>(new WorkSteps());
  const visited = new Set<AccountShare>();
  for (let index = 0; index < 1_100; index++) {
    const share = new AccountShare(asId<ClientAccountId>(`a${index}`));
    const item = buildRequest(`r${index}`, { account: `a${index}` });
    queue.add(item, { share, priority: 1, order: index });
    Object.defineProperty(share, "virtualTime", {
      get: () => {
        visited.add(share);
        return 0;
      },
    });
  }
  const options = { share: undefined, work: 0, priority: 2, isQueued: false };
  t.is(queue.countAhead({ ...options, enough: 20 }), 20);
  t.is(visited.size, 20);
  t.is(queue.countAhead({ ...options, enough: Infinity }), 1_100);
  t.is(queue.countUpTo(2, 20), 20);
});

test("a decision among 1,100 accounts visits only the requests it considers", (t) => {
  // Guards against decisions whose cost grows with the number of accounts.
  const queue = new RequestQueue<QueuedRequest>();
  for (let index = 0; index < 3_300; index++) {
    queue.push(
      buildRequest(`r${index}`, { account: `a${index % 1_100}` }),
      0,
    );
  }
  let visits = 0;
  const order = queue.inOrder(1, {
    maximum: 48,
    canStart: () => {
      visits++;
      return true;
    },
  });
  t.is(new Set(order.map(({ account }) => account)).size, 48);
  t.true(visits <= 48);
  t.is(queue.accountCount, 1_100);
});

test("starts and refusals are counted by account until they are taken", (t) => {
  const queue = new RequestQueue<QueuedRequest>();
  for (const name of ["a", "b", "c"]) {
    queue.push(buildRequest(name, { account: name }), 0);
  }
  queue.start(asId<RequestId>("b"), 1);
  queue.recordRefusal(queue.remove(asId<RequestId>("c"))!);
  const counts = queue.takeAccountUse();
  t.is(counts.length, 3);
  const find = (name: string): unknown =>
    counts.find(({ account }) => `${account}` === name);
  t.like(find("a"), { starts: 0, refused: 0, waiting: 1 });
  t.like(find("b"), { starts: 1, refused: 0, waiting: 0 });
  t.like(find("c"), { starts: 0, refused: 1, waiting: 0 });
  t.is(queue.takeAccountUse().length, 1);
});

test("a host that schedules locally drops idle accounts", (t) => {
  // Guards against state that grows with every account ever seen by a host that
  // was isolated.
  const timer = new VirtualTimer();
  const fleet = new VirtualFleet({
    timer,
    hosts: 1,
    upstreams: [buildUpstream(0, { slots: 200 })],
    failureDomains: [WEST],
    seed: 1,
  });
  const { host, client } = fleet.hosts[0]!;
  // Its own coordinator does not answer, so it schedules locally.
  fleet.cuts.add(`${host}>${host}`);
  let placed = 0;
  for (let index = 0; index < 100; index++) {
    client.submit(
      {
        ...buildPlacementRequest(`r${index}`),
        account: asId<ClientAccountId>(`a${index}`),
      },
      ({ kind }) => {
        if (kind === "place") placed++;
      },
      0,
    );
  }
  timer.advance(1_000);
  t.is(placed, 100);
  t.is(client.localAccountCount, 100);
  timer.advance(10_000);
  t.is(client.localAccountCount, 0);
});

test("a scheduler without a log discards what it counts by account", (t) => {
  // Guards against counts that grow until a log line that is never written.
  const { scheduler } = buildScheduler([buildUpstream(0)]);
  scheduler.submit(buildPendingRequest("r", { account: "a" }), 0);
  scheduler.discardAccountUse(1_000);
  t.deepEqual(scheduler.takeAccountUse(PLANS), []);
});

test("accounts that no longer wait or start requests are dropped", (t) => {
  // Guards against state that grows with every account ever seen.
  const queue = new RequestQueue<QueuedRequest>();
  for (let index = 0; index < 100; index++) {
    queue.push(buildRequest(`r${index}`, { account: `a${index}` }), 0);
    queue.start(asId<RequestId>(`r${index}`), 0);
  }
  queue.push(buildRequest("waiting", { account: "b" }), 0);
  queue.removeUnservable(6_000);
  t.is(queue.accountCount, 1);
});
