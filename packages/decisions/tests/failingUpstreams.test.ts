import test from "ava";
import fc from "fast-check";
import { asId, type Digest } from "@wasabivane/common";
import { OutlierDetector, PoisonRequestDetector } from "@wasabivane/decisions";
import { upstreamId } from "./helpers/pools.ts";

test("at most the given share is ejected, and all upstreams return", (t) => {
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
      const detector = new OutlierDetector({
        upstreamCount: 10,
        maximumEjectedShare: 0.3,
      });
      let now = 0;
      for (const { upstream, outcome, gap } of failures) {
        now += gap;
        detector.takeExpired(now);
        detector.observe(upstreamId(upstream), outcome, now);
        t.true(countEjected(detector) <= 3);
      }
      detector.takeExpired(now + 30_000);
      t.is(countEjected(detector), 0);
    }),
    { numRuns: 100, seed: 1 },
  );
});

test("consecutive ejections of an upstream last longer", (t) => {
  const detector = new OutlierDetector({
    upstreamCount: 2,
    maximumEjectedShare: 1,
  });
  const durations: number[] = [];
  let now = 0;
  for (let round = 0; round < 4; round++) {
    now += 1_000;
    detector.observe(upstreamId(0), "upstream-refused", now);
    durations.push(detector.nextExpiry()! - now);
    now = detector.nextExpiry()!;
    detector.takeExpired(now);
  }
  t.deepEqual(durations, [1_000, 2_000, 4_000, 8_000]);
});

// Guards against treating every request in flight during an outage as a
// suspect.
test("simultaneous losses of unrelated upstreams create no suspects", (t) => {
  const detector = new PoisonRequestDetector();
  detector.recordUpstreamLoss(upstreamId(0), fingerprintsOf("a", "b"), 1_000);
  detector.recordUpstreamLoss(upstreamId(1), fingerprintsOf("c", "d"), 1_300);
  const statuses = fingerprintsOf("a", "b", "c", "d").map((fingerprint) =>
    detector.statusOf(fingerprint, 2_000).kind
  );
  t.deepEqual(statuses, ["clean", "clean", "clean", "clean"]);
});

test("a request that progressed further than at its first loss is not quarantined", (t) => {
  const detector = new PoisonRequestDetector();
  const [innocent] = fingerprintsOf("a") as [Digest];
  detector.recordUpstreamLoss(upstreamId(0), [innocent], 0);
  detector.recordLossProgress(innocent, 40, 0);
  detector.recordUpstreamLoss(upstreamId(1), [innocent], 9_000);
  detector.recordLossProgress(innocent, 400, 9_000);
  t.is(detector.statusOf(innocent, 9_001).kind, "suspect");
});

test("an imported quarantine applies and expires", (t) => {
  const source = new PoisonRequestDetector();
  const [poison] = fingerprintsOf("a") as [Digest];
  source.recordUpstreamLoss(upstreamId(0), [poison], 0);
  source.recordUpstreamLoss(upstreamId(1), [poison], 5_000);
  const records = source.drainChangedRecords(6_000);
  t.deepEqual(source.drainChangedRecords(6_000), []);
  const target = new PoisonRequestDetector();
  // The clock of the target host has another origin.
  target.importRecords(structuredClone(records), 1_000_000);
  t.is(target.statusOf(poison, 1_000_001).kind, "convicted");
  t.is(target.statusOf(poison, 1_000_000 + 3_600_000).kind, "clean");
});

test("the number of poison records is limited", (t) => {
  const detector = new PoisonRequestDetector({ maximumRecords: 100 });
  for (let round = 0; round < 50; round++) {
    const names = Array.from({ length: 20 }, (_, index) => `${round}/${index}`);
    detector.recordUpstreamLoss(
      upstreamId(round),
      fingerprintsOf(...names),
      round * 2_000,
    );
  }
  t.true(detector.exportRecords(100_000).length <= 100);
});

function countEjected(detector: OutlierDetector): number {
  return Array.from({ length: 10 }, (_, index) => upstreamId(index))
    .filter((upstream) => detector.isEjected(upstream)).length;
}

function fingerprintsOf(...names: string[]): Digest[] {
  return names.map((name) => asId<Digest>(name));
}
