import test from "ava";
import fc from "fast-check";
import {
  asId,
  type ClientAccountId,
  type Digest,
  SeededRandom,
  type UpstreamId,
} from "@wasabivane/common";
import {
  AccountLimits,
  FreeUpstreams,
  PrefixCacheIndex,
  UpstreamState,
} from "@wasabivane/decisions";
import {
  buildPlacementRequest,
  buildPolicy,
  upstreamId,
} from "./helpers/pools.ts";

const ACCOUNT = asId<ClientAccountId>("account-a");

test("admitted requests and tokens never exceed the account's rates", (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 50 }),
      fc.integer({ min: 100, max: 5_000 }),
      fc.array(
        fc.record({
          gap: fc.integer({ min: 0, max: 200 }),
          tokens: fc.integer({ min: 1, max: 2_000 }),
        }),
        { maxLength: 300 },
      ),
      (requestsPerSecond, tokensPerSecond, arrivals) => {
        const limits = new AccountLimits([{
          account: ACCOUNT,
          requestsPerSecond,
          tokensPerSecond,
          concurrentRequests: 1_000,
          waitingRequests: 1_000,
        }]);
        let now = 0;
        let requests = 0;
        let tokens = 0;
        for (const arrival of arrivals) {
          now += arrival.gap;
          const placementRequest = buildPlacementRequest("r");
          if (limits.check(placementRequest, now).kind === "over") continue;
          limits.charge(placementRequest, arrival.tokens);
          requests++;
          tokens += arrival.tokens;
          const seconds = now / 1_000 + 1;
          t.true(requests <= requestsPerSecond * seconds + 1);
          t.true(tokens <= tokensPerSecond * seconds + 2_000);
        }
      },
    ),
    { numRuns: 100, seed: 1 },
  );
});

test("a limited account is admitted again after the retry delay", (t) => {
  const limits = new AccountLimits([{
    account: ACCOUNT,
    requestsPerSecond: 2,
    tokensPerSecond: 1_000,
    concurrentRequests: 10,
    waitingRequests: 10,
  }]);
  const placementRequest = buildPlacementRequest("r");
  limits.charge(placementRequest, 4_000);
  const check = limits.check(placementRequest, 0);
  t.is(check.kind, "over");
  if (check.kind !== "over") return;
  t.is(limits.check(placementRequest, check.retryAfter).kind, "within");
  t.is(limits.check(placementRequest, check.retryAfter - 10).kind, "over");
});

test("the prefix cache index finds the same blocks as a linear search", (t) => {
  const operation = fc.record({
    upstream: fc.integer({ min: 0, max: 3 }),
    prompt: fc.integer({ min: 0, max: 2 }),
    length: fc.integer({ min: 1, max: 12 }),
    kind: fc.constantFrom("stored", "evicted", "cleared"),
  });
  fc.assert(
    fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
      const cache = new PrefixCacheIndex();
      const cachedBlocks = new Map<UpstreamId, Set<Digest>>();
      const sequences = new Map<UpstreamId, number>();
      operations.forEach(({ upstream, prompt, length, kind }, index) => {
        const id = upstreamId(upstream);
        const blocks = cachedBlocks.get(id) ?? new Set();
        cachedBlocks.set(id, blocks);
        const blockChain = blockChainOf(prompt);
        // Engines evict the end of a block chain first.
        const digests = kind === "evicted"
          ? blockChain.slice(length)
          : blockChain.slice(0, length);
        if (kind === "stored") digests.forEach((digest) => blocks.add(digest));
        if (kind === "evicted") {
          digests.forEach((digest) => blocks.delete(digest));
        }
        if (kind === "cleared") blocks.clear();
        const sequence = (sequences.get(id) ?? 0) + 1;
        sequences.set(id, sequence);
        cache.applyEvent({
          upstream: id,
          sequence,
          kind: kind as "stored",
          digests: kind === "cleared" ? [] : digests,
        }, index * 10_000);
      });
      const now = operations.length * 10_000;
      for (const [upstream, blocks] of cachedBlocks) {
        for (let prompt = 0; prompt < 3; prompt++) {
          const blockChain = blockChainOf(prompt);
          const missing = blockChain.findIndex((digest) => !blocks.has(digest));
          const expected = missing < 0 ? blockChain.length : missing;
          const found = cache.cachedBlocks(upstream, blockChain, now);
          // Entries expire after five minutes, so fewer may be found later.
          if (now < 300_000) t.is(found, expected);
          else t.true(found <= expected);
        }
      }
    }),
    { numRuns: 100, seed: 1 },
  );
});

test("entries older than an event gap expire sooner", (t) => {
  const cache = new PrefixCacheIndex();
  const upstream = upstreamId(0);
  const blockChain = blockChainOf(0);
  const event = { upstream, kind: "stored" as const };
  cache.applyEvent({ ...event, sequence: 1, digests: blockChain }, 0);
  cache.applyEvent({ ...event, sequence: 5, digests: blockChainOf(1) }, 1_000);
  t.is(cache.cachedBlocks(upstream, blockChain, 2_000), blockChain.length);
  t.is(cache.cachedBlocks(upstream, blockChain, 40_000), 0);
  t.is(
    cache.cachedBlocks(upstream, blockChainOf(1), 40_000),
    blockChain.length,
  );
});

test("a sample of free upstreams covers exactly the generations with free ones", (t) => {
  const random = new SeededRandom(1);
  const free = new FreeUpstreams();
  const states = buildPolicy(300).upstreams.map((description, index) =>
    new UpstreamState(
      { ...description, generation: index < 3 ? "fast" : `slow-${index % 2}` },
      { initialRequests: 8, maximumRequests: 8 },
    )
  );
  const present = new Set<UpstreamState>();
  for (let round = 0; round < 2_000; round++) {
    const state = random.pick(states);
    if (random.float() < 0.5) {
      free.add(state);
      present.add(state);
    } else {
      free.remove(state);
      present.delete(state);
    }
    t.is(free.size, present.size);
    const sample = free.sample(random);
    t.true(sample.every((candidate) => present.has(candidate)));
    const generations = new Set(
      [...present].map(({ description }) => description.generation),
    );
    const sampled = new Set(
      sample.map(({ description }) => description.generation),
    );
    t.deepEqual([...sampled].sort(), [...generations].sort());
  }
});

function blockChainOf(prompt: number): Digest[] {
  return Array.from(
    { length: 12 },
    (_, block) => asId<Digest>(`${prompt}/${block}`),
  );
}
