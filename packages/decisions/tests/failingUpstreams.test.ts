import test from "ava";
import fc from "fast-check";
import { asId, type Digest } from "@wasabivane/common";
import { OutlierDetector, PoisonRequestDetector } from "@wasabivane/decisions";
import { upstreamId } from "./helpers/pools.ts";

test("never more than the given share is ejected, and each comes back", (t) => {
  const failure = fc.record({
    upstream: fc.integer({ min: 0, max: 9 }),
    outcome: fc.constantFrom(
      "upstream-lost" as const,
      "upstream-refused" as const,
      "upstream-error" as const,
      "whole" as const,
    ),
    gap: fc.integer({ min: 0, max: 3_000 }),
  });
  fc.assert(
    fc.property(fc.array(failure, { maxLength: 100 }), (failures) => {
      const ejection = new OutlierDetector({
        upstreamCount: 10,
        maximumEjectedShare: 0.3,
      });
      let now = 0;
      for (const { upstream, outcome, gap } of failures) {
        now += gap;
        ejection.takeExpired(now);
        ejection.observe(upstreamId(upstream), outcome, now);
        t.true(countEjected(ejection) <= 3);
      }
      ejection.takeExpired(now + 30_000);
      t.is(countEjected(ejection), 0);
    }),
    { numRuns: 100, seed: 1 },
  );
});

test("an ejection lasts longer each time in a row", (t) => {
  const ejection = new OutlierDetector({
    upstreamCount: 2,
    maximumEjectedShare: 1,
  });
  const spans: number[] = [];
  let now = 0;
  for (let round = 0; round < 4; round++) {
    now += 1_000;
    ejection.observe(upstreamId(0), "upstream-refused", now);
    spans.push(ejection.nextExpiry()! - now);
    now = ejection.nextExpiry()!;
    ejection.takeExpired(now);
  }
  t.deepEqual(spans, [1_000, 2_000, 4_000, 8_000]);
});

// Callers of innocent requests see their answers break twice, with two upstreams
// that were lost at the same moment. Each request ran at one of them only, so no
// request can have caused both; making them all suspect would have dozens of
// innocents wait for each other.
test("losses of several upstreams at once make nobody suspect", (t) => {
  const suspects = new PoisonRequestDetector();
  suspects.recordUpstreamLoss(upstreamId(0), prints("a", "b"), 1_000);
  suspects.recordUpstreamLoss(upstreamId(1), prints("c", "d"), 1_300);
  const verdicts = prints("a", "b", "c", "d").map((fingerprint) =>
    suspects.statusOf(fingerprint, 2_000).kind
  );
  t.deepEqual(verdicts, ["clean", "clean", "clean", "clean"]);
});

test("one that got further than at its first loss is not convicted", (t) => {
  const suspects = new PoisonRequestDetector();
  const [innocent] = prints("a") as [Digest];
  suspects.recordUpstreamLoss(upstreamId(0), [innocent], 0);
  suspects.recordLossProgress(innocent, 40, 0);
  suspects.recordUpstreamLoss(upstreamId(1), [innocent], 9_000);
  suspects.recordLossProgress(innocent, 400, 9_000);
  t.is(suspects.statusOf(innocent, 9_001).kind, "suspect");
});

test("a conviction that one keeper found holds at another and expires", (t) => {
  const finder = new PoisonRequestDetector();
  const [killer] = prints("a") as [Digest];
  finder.recordUpstreamLoss(upstreamId(0), [killer], 0);
  finder.recordUpstreamLoss(upstreamId(1), [killer], 5_000);
  const told = finder.drainChangedRecords(6_000);
  t.deepEqual(finder.drainChangedRecords(6_000), []);
  const other = new PoisonRequestDetector();
  // The other keeper's clock has another origin.
  other.importRecords(structuredClone(told), 1_000_000);
  t.is(other.statusOf(killer, 1_000_001).kind, "convicted");
  t.is(other.statusOf(killer, 1_000_000 + 3_600_000).kind, "clean");
});

test("what is remembered of suspects is bounded", (t) => {
  const suspects = new PoisonRequestDetector({ maximumRecords: 100 });
  for (let round = 0; round < 50; round++) {
    const names = Array.from({ length: 20 }, (_, index) => `${round}/${index}`);
    suspects.recordUpstreamLoss(
      upstreamId(round),
      prints(...names),
      round * 2_000,
    );
  }
  t.true(suspects.exportRecords(100_000).length <= 100);
});

function countEjected(ejection: OutlierDetector): number {
  return Array.from({ length: 10 }, (_, index) => upstreamId(index))
    .filter((upstream) => ejection.isEjected(upstream)).length;
}

function prints(...names: string[]): Digest[] {
  return names.map((name) => asId<Digest>(name));
}
