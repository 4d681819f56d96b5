import { SeededRandom } from "@wasabivane/common";
import {
  drawWatchDuration,
  PolicyFreshness,
  type WatchContext,
} from "@wasabivane/admission";
import test from "ava";

const CALM: WatchContext = {
  revocationBound: 5_000,
  readingPeers: 7,
  hasJustChanged: false,
};

function waits(changes: Partial<WatchContext> = {}): number[] {
  const random = new SeededRandom(5);
  return Array.from(
    { length: 200 },
    () => drawWatchDuration({ ...CALM, ...changes }, random),
  );
}

test("no wait outlives the time for which a proof serves, whatever the bound", (t) => {
  // A host whose watch waits longer than its lease would refuse callers with valid
  // keys although the store answers.
  for (const revocationBound of [500, 3_000, 5_000, 60_000]) {
    const freshness = new PolicyFreshness({
      revocationBound,
      applyBound: 2_000,
    });
    freshness.confirm(0);
    t.true(freshness.isKeyTrusted(Math.max(...waits({ revocationBound }))));
  }
});

test("the first watch after a change proves freshness soon", (t) => {
  // A change answers the watches of all hosts at once, with proofs as old as the
  // watches. Unknown keys cannot be denied until the next proof.
  const freshness = new PolicyFreshness({
    revocationBound: 5_000,
    applyBound: 2_000,
  });
  freshness.confirm(0);
  t.true(
    freshness.isDenialAllowed(Math.max(...waits({ hasJustChanged: true }))),
  );
  t.true(Math.max(...waits()) > 2_000);
});

test("waits of hosts that share proofs differ, a host alone waits briefly", (t) => {
  const shared = waits();
  t.true(Math.max(...shared) - Math.min(...shared) > 1_500);
  t.true(Math.max(...waits({ readingPeers: 0 })) <= 800);
});
