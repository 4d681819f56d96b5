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

test("no second of a steady stream exceeds the published rates", (t) => {
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
          const ask = buildPlacementRequest("r");
          if (limits.check(ask, now).kind === "over") continue;
          limits.charge(ask, arrival.tokens);
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

test("the wait that a limited account is told is enough", (t) => {
  const limits = new AccountLimits([{
    account: ACCOUNT,
    requestsPerSecond: 2,
    tokensPerSecond: 1_000,
    concurrentRequests: 10,
    waitingRequests: 10,
  }]);
  const ask = buildPlacementRequest("r");
  limits.charge(ask, 4_000);
  const check = limits.check(ask, 0);
  t.is(check.kind, "over");
  if (check.kind !== "over") return;
  t.is(limits.check(ask, check.retryAfter).kind, "within");
  t.is(limits.check(ask, check.retryAfter - 10).kind, "over");
});

test("the cache map finds what a plain search finds", (t) => {
  const operation = fc.record({
    upstream: fc.integer({ min: 0, max: 3 }),
    prompt: fc.integer({ min: 0, max: 2 }),
    length: fc.integer({ min: 1, max: 12 }),
    kind: fc.constantFrom("stored", "evicted", "cleared"),
  });
  fc.assert(
    fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
      const cache = new PrefixCacheIndex();
      const held = new Map<UpstreamId, Set<Digest>>();
      const sequences = new Map<UpstreamId, number>();
      operations.forEach(({ upstream, prompt, length, kind }, index) => {
        const id = upstreamId(upstream);
        const blocks = held.get(id) ?? new Set();
        held.set(id, blocks);
        const chain = chainOf(prompt);
        // Engines evict the end of a chain first, which keeps what is held whole.
        const digests = kind === "evicted"
          ? chain.slice(length)
          : chain.slice(0, length);
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
      for (const [upstream, blocks] of held) {
        for (let prompt = 0; prompt < 3; prompt++) {
          const chain = chainOf(prompt);
          const missing = chain.findIndex((digest) => !blocks.has(digest));
          const expected = missing < 0 ? chain.length : missing;
          const found = cache.cachedBlocks(upstream, chain, now);
          // Entries expire after five minutes, so that only older ones may differ.
          if (now < 300_000) t.is(found, expected);
          else t.true(found <= expected);
        }
      }
    }),
    { numRuns: 100, seed: 1 },
  );
});

test("after a gap in the events, what may have been evicted is doubted", (t) => {
  const cache = new PrefixCacheIndex();
  const upstream = upstreamId(0);
  const chain = chainOf(0);
  const event = { upstream, kind: "stored" as const };
  cache.applyEvent({ ...event, sequence: 1, digests: chain }, 0);
  cache.applyEvent({ ...event, sequence: 5, digests: chainOf(1) }, 1_000);
  t.is(cache.cachedBlocks(upstream, chain, 2_000), chain.length);
  t.is(cache.cachedBlocks(upstream, chain, 40_000), 0);
  t.is(cache.cachedBlocks(upstream, chainOf(1), 40_000), chain.length);
});

test("a sample of free upstreams holds only free ones, of each generation", (t) => {
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

function chainOf(prompt: number): Digest[] {
  return Array.from(
    { length: 12 },
    (_, block) => asId<Digest>(`${prompt}/${block}`),
  );
}
