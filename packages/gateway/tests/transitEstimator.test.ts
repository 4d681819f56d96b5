import { TransitEstimator } from "@wasabivane/gateway";
import type { Milliseconds } from "@wasabivane/common";
import test from "ava";

/** Age of the sender at time zero of the receiver. */
const INITIAL_AGE: Milliseconds = 700;

test("the delay of a message counts from the sender's fastest one", (t) => {
  const estimator = new TransitEstimator();
  const observe = (sentAt: Milliseconds, delay: Milliseconds) =>
    estimator.observe(INITIAL_AGE + sentAt, sentAt + delay);
  t.is(observe(0, 40), undefined);
  t.is(observe(100, 60), 20);
  t.is(observe(200, 10), 0);
  t.is(observe(300, 1_510), 1_500);
});

test("a sender whose clock stood still is late until its faster past is forgotten", (t) => {
  // Guards against hosts that never again confirm anything after a suspension.
  const estimator = new TransitEstimator();
  const observe = (now: Milliseconds, suspended: Milliseconds) =>
    estimator.observe(INITIAL_AGE + now - suspended, now);
  t.is(observe(0, 0), undefined);
  t.is(observe(9_000, 3_000), 3_000);
  t.is(observe(20_000, 3_000), 3_000);
  t.is(observe(40_000, 3_000), 0);
});
