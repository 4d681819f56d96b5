import {
  asId,
  asTier,
  type ClientAccountId,
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
import { VirtualFleet } from "./helpers/virtualFleet.ts";

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
