import { SeededRandom } from "@wasabivane/common";
import {
  drawWatchDuration,
  PolicyFreshness,
  type WatchContext,
} from "@wasabivane/admission";
import test from "ava";

const UNCHANGED: WatchContext = {
  revocationBound: 5_000,
  readingPeers: 7,
  hasJustChanged: false,
};

function drawDurations(changes: Partial<WatchContext> = {}): number[] {
  const random = new SeededRandom(5);
  return Array.from(
    { length: 200 },
    () => drawWatchDuration({ ...UNCHANGED, ...changes }, random),
  );
}

test("no watch lasts longer than the lease of a confirmation", (t) => {
  // Guards against refusing callers with valid keys because a watch outlives
  // the lease of a confirmation.
  for (const revocationBound of [500, 3_000, 5_000, 60_000]) {
    const freshness = new PolicyFreshness({
      revocationBound,
      applyBound: 2_000,
    });
    freshness.confirm(0);
    t.true(
      freshness.isKeyTrusted(Math.max(...drawDurations({ revocationBound }))),
    );
  }
});

test("the first watch after a change confirms the policy soon", (t) => {
  // Guards against a long time without a confirmation after a change, in which
  // unknown keys cannot be denied.
  const freshness = new PolicyFreshness({
    revocationBound: 5_000,
    applyBound: 2_000,
  });
  freshness.confirm(0);
  t.true(
    freshness.isDenialAllowed(
      Math.max(...drawDurations({ hasJustChanged: true })),
    ),
  );
  t.true(Math.max(...drawDurations()) > 2_000);
});

test("watches of hosts that share confirmations vary; a single reader watches briefly", (t) => {
  const shared = drawDurations();
  t.true(Math.max(...shared) - Math.min(...shared) > 1_500);
  t.true(Math.max(...drawDurations({ readingPeers: 0 })) <= 800);
});
