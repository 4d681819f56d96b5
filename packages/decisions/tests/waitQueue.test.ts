import test from "ava";
import fc from "fast-check";
import { asId, type RequestId } from "@wasabivane/common";
import {
  type PlacementRequest,
  type QueuedRequest,
  WaitQueue,
} from "@wasabivane/decisions";
import { buildPlacementRequest } from "./helpers/pools.ts";

const STRETCH = 10;
const MAXIMUM_TOKENS = 3_000;

interface Entry {
  readonly ask: PlacementRequest;
  readonly tokens: number;
  readonly key: number;
  readonly since: number;
}

/** The queue as one list, searched from end to end for each question. */
class ListedQueue {
  entries: Entry[] = [];
  readonly served = new Map<string, number>();
  readonly #reached = new Map<number, number>();

  push(entry: Entry): string[] {
    const { tier, account } = entry.ask;
    const lane = laneOf(entry);
    const isIdle = !this.entries.some((other) => laneOf(other) === lane);
    if (isIdle) {
      const reached = this.#reached.get(tier) ?? 0;
      this.served.set(lane, Math.max(this.served.get(lane) ?? 0, reached));
    }
    this.entries.push(entry);
    void account;
    return this.#shed();
  }

  remove(request: string): boolean {
    const before = this.entries.length;
    this.entries = this.entries.filter(({ ask }) => ask.request !== request);
    return this.entries.length < before;
  }

  /** Whether the rules allow this request to be the next. */
  mayBeNext(request: string): boolean {
    const chosen = this.entries.find(({ ask }) => ask.request === request)!;
    const topTier = Math.min(...this.entries.map(({ ask }) => ask.tier));
    const rivals = this.entries.filter(({ ask }) => ask.tier === topTier);
    const least = Math.min(...rivals.map((entry) => this.#servedOf(entry)));
    const mates = rivals.filter((entry) => laneOf(entry) === laneOf(chosen));
    return chosen.ask.tier === topTier &&
      this.#servedOf(chosen) === least &&
      chosen.key === Math.min(...mates.map(({ key }) => key));
  }

  take(request: string): void {
    const chosen = this.entries.find(({ ask }) => ask.request === request)!;
    const served = this.#servedOf(chosen);
    const { tier } = chosen.ask;
    this.#reached.set(tier, Math.max(this.#reached.get(tier) ?? 0, served));
    this.served.set(laneOf(chosen), served + chosen.tokens);
    this.remove(request);
  }

  #servedOf(entry: Entry): number {
    return this.served.get(laneOf(entry)) ?? 0;
  }

  #shed(): string[] {
    const shed: string[] = [];
    while (sumTokens(this.entries) > MAXIMUM_TOKENS) {
      const victim = this.entries.reduce((worst, entry) =>
        isShedBefore(entry, worst) ? entry : worst
      );
      this.remove(victim.ask.request);
      shed.push(victim.ask.request);
    }
    return shed;
  }
}

function laneOf({ ask }: Entry): string {
  return `${ask.tier}/${ask.account}`;
}

function sumTokens(entries: readonly Entry[]): number {
  return entries.reduce((sum, { tokens }) => sum + tokens, 0);
}

function isShedBefore(entry: Entry, other: Entry): boolean {
  if (entry.ask.tier !== other.ask.tier) return entry.ask.tier > other.ask.tier;
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

test("the queue orders and sheds as a plain list does", (t) => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const queue = new WaitQueue({
        maximumTokens: MAXIMUM_TOKENS,
        maximumBytes: Infinity,
        costMultiplier: STRETCH,
      });
      const listed = new ListedQueue();
      steps.forEach((action, now) => {
        if (action.kind === "push") {
          const ask = buildPlacementRequest(`r${now}`, {
            tier: action.tier,
            account: `account-${action.account}`,
          });
          const shed = queue.push(ask, {
            now,
            expectedTokens: action.tokens,
            expectedMs: action.cost,
            costMs: action.cost,
            latestStart: Infinity,
          });
          const key = now + STRETCH * action.cost;
          const expected = listed.push({
            ask,
            tokens: action.tokens,
            key,
            since: now,
          });
          t.deepEqual(
            shed.map((waiting) => waiting.placementRequest.request as string),
            expected,
          );
        } else if (action.kind === "remove") {
          const name = `r${action.which}`;
          const removed = queue.remove(asId<RequestId>(name));
          t.is(removed !== undefined, listed.remove(name));
        } else {
          const taken = queue.take(() => "start");
          t.is(taken === undefined, listed.entries.length === 0);
          if (taken === undefined) return;
          t.true(listed.mayBeNext(taken.placementRequest.request));
          listed.take(taken.placementRequest.request);
        }
      });
      t.is(queue.size, listed.entries.length);
      t.is(queue.tokens, sumTokens(listed.entries));
    }),
    { numRuns: 150, seed: 1 },
  );
});

test("requests that found no place do not hide those behind them", (t) => {
  const queue = new WaitQueue({ maximumTokens: 1e6, maximumBytes: 1e6 });
  for (let index = 0; index < 40; index++) {
    queue.push(buildPlacementRequest(`r${index}`), details(index));
  }
  const tried = new Set<string>();
  const refuseAll = (waiting: QueuedRequest): "blocked" => {
    tried.add(waiting.placementRequest.request);
    return "blocked";
  };
  for (let call = 0; call < 10; call++) queue.take(refuseAll);
  t.is(tried.size, 40);
});

test("an idle account saves up no claim", (t) => {
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
