import test from "ava";
import fc from "fast-check";
import { asId, type RequestId } from "@wasabivane/common";
import {
  type PlacementRequest,
  type QueuedRequest,
  WaitQueue,
} from "@wasabivane/decisions";
import { buildPlacementRequest } from "./helpers/pools.ts";

const COST_MULTIPLIER = 10;
const MAXIMUM_TOKENS = 3_000;

interface Entry {
  readonly placementRequest: PlacementRequest;
  readonly tokens: number;
  readonly key: number;
  readonly since: number;
}

/** Implements the queue as one list, as a reference. */
class ReferenceQueue {
  entries: Entry[] = [];
  readonly servedTokens = new Map<string, number>();
  readonly #servedFloor = new Map<number, number>();

  push(entry: Entry): string[] {
    const { tier, account } = entry.placementRequest;
    const queueKey = queueKeyOf(entry);
    const isIdle = !this.entries.some((other) =>
      queueKeyOf(other) === queueKey
    );
    if (isIdle) {
      const servedFloor = this.#servedFloor.get(tier) ?? 0;
      this.servedTokens.set(
        queueKey,
        Math.max(this.servedTokens.get(queueKey) ?? 0, servedFloor),
      );
    }
    this.entries.push(entry);
    void account;
    return this.#shed();
  }

  remove(request: string): boolean {
    const before = this.entries.length;
    this.entries = this.entries.filter(({ placementRequest }) =>
      placementRequest.request !== request
    );
    return this.entries.length < before;
  }

  /** Returns whether the ordering rules allow this request to be next. */
  isValidNext(request: string): boolean {
    const chosen = this.entries.find(({ placementRequest }) =>
      placementRequest.request === request
    )!;
    const topTier = Math.min(
      ...this.entries.map(({ placementRequest }) => placementRequest.tier),
    );
    const sameTier = this.entries.filter(({ placementRequest }) =>
      placementRequest.tier === topTier
    );
    const leastServed = Math.min(
      ...sameTier.map((entry) => this.#servedOf(entry)),
    );
    const sameQueue = sameTier.filter((entry) =>
      queueKeyOf(entry) === queueKeyOf(chosen)
    );
    return chosen.placementRequest.tier === topTier &&
      this.#servedOf(chosen) === leastServed &&
      chosen.key === Math.min(...sameQueue.map(({ key }) => key));
  }

  take(request: string): void {
    const chosen = this.entries.find(({ placementRequest }) =>
      placementRequest.request === request
    )!;
    const servedTokens = this.#servedOf(chosen);
    const { tier } = chosen.placementRequest;
    this.#servedFloor.set(
      tier,
      Math.max(this.#servedFloor.get(tier) ?? 0, servedTokens),
    );
    this.servedTokens.set(queueKeyOf(chosen), servedTokens + chosen.tokens);
    this.remove(request);
  }

  #servedOf(entry: Entry): number {
    return this.servedTokens.get(queueKeyOf(entry)) ?? 0;
  }

  #shed(): string[] {
    const shed: string[] = [];
    while (sumTokens(this.entries) > MAXIMUM_TOKENS) {
      const selected = this.entries.reduce((current, entry) =>
        isShedBefore(entry, current) ? entry : current
      );
      this.remove(selected.placementRequest.request);
      shed.push(selected.placementRequest.request);
    }
    return shed;
  }
}

function queueKeyOf({ placementRequest }: Entry): string {
  return `${placementRequest.tier}/${placementRequest.account}`;
}

function sumTokens(entries: readonly Entry[]): number {
  return entries.reduce((sum, { tokens }) => sum + tokens, 0);
}

function isShedBefore(entry: Entry, other: Entry): boolean {
  if (entry.placementRequest.tier !== other.placementRequest.tier) {
    return entry.placementRequest.tier > other.placementRequest.tier;
  }
  if (entry.tokens !== other.tokens) return entry.tokens > other.tokens;
  return entry.since > other.since;
}

const push = fc.record({
  kind: fc.constant("push" as const),
  tier: fc.integer({ min: 1, max: 4 }),
  account: fc.integer({ min: 0, max: 3 }),
  tokens: fc.integer({ min: 1, max: 1_000 }),
  cost: fc.integer({ min: 1, max: 500 }),
});
const step = fc.oneof(
  { weight: 3, arbitrary: push },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("take" as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("remove" as const),
      which: fc.nat(200),
    }),
  },
);

test("the queue orders and sheds like the reference list", (t) => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const queue = new WaitQueue({
        maximumTokens: MAXIMUM_TOKENS,
        maximumBytes: Infinity,
        costMultiplier: COST_MULTIPLIER,
      });
      const reference = new ReferenceQueue();
      steps.forEach((action, now) => {
        if (action.kind === "push") {
          const placementRequest = buildPlacementRequest(`r${now}`, {
            tier: action.tier,
            account: `account-${action.account}`,
          });
          const shed = queue.push(placementRequest, {
            now,
            expectedTokens: action.tokens,
            expectedMs: action.cost,
            costMs: action.cost,
            latestStart: Infinity,
          });
          const key = now + COST_MULTIPLIER * action.cost;
          const expected = reference.push({
            placementRequest,
            tokens: action.tokens,
            key,
            since: now,
          });
          t.deepEqual(
            shed.map((queued) => queued.placementRequest.request as string),
            expected,
          );
        } else if (action.kind === "remove") {
          const name = `r${action.which}`;
          const removed = queue.remove(asId<RequestId>(name));
          t.is(removed !== undefined, reference.remove(name));
        } else {
          const taken = queue.take(() => "start");
          t.is(taken === undefined, reference.entries.length === 0);
          if (taken === undefined) return;
          t.true(reference.isValidNext(taken.placementRequest.request));
          reference.take(taken.placementRequest.request);
        }
      });
      t.is(queue.size, reference.entries.length);
      t.is(queue.tokens, sumTokens(reference.entries));
    }),
    { numRuns: 150, seed: 1 },
  );
});

test("blocked requests do not hide the requests behind them", (t) => {
  const queue = new WaitQueue({ maximumTokens: 1e6, maximumBytes: 1e6 });
  for (let index = 0; index < 40; index++) {
    queue.push(buildPlacementRequest(`r${index}`), details(index));
  }
  const tried = new Set<string>();
  const blockAll = (queued: QueuedRequest): "blocked" => {
    tried.add(queued.placementRequest.request);
    return "blocked";
  };
  for (let call = 0; call < 10; call++) queue.take(blockAll);
  t.is(tried.size, 40);
});

test("an idle account gains no credit", (t) => {
  const queue = new WaitQueue({ maximumTokens: 1e6, maximumBytes: 1e6 });
  for (let index = 0; index < 20; index++) {
    queue.push(
      buildPlacementRequest(`busy${index}`, { account: "busy" }),
      details(index),
    );
  }
  for (let index = 0; index < 10; index++) queue.take(() => "start");
  for (let index = 0; index < 10; index++) {
    queue.push(
      buildPlacementRequest(`late${index}`, { account: "late" }),
      details(index),
    );
  }
  const next = Array.from(
    { length: 6 },
    () => queue.take(() => "start")!.placementRequest.account as string,
  );
  t.is(next.filter((account) => account === "late").length, 3);
});

function details(
  now: number,
): Parameters<WaitQueue["push"]>[1] {
  return {
    now,
    expectedTokens: 100,
    expectedMs: 100,
    costMs: 10,
    latestStart: 1e9,
  };
}
