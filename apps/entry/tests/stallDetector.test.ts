import test from "ava";
import { VirtualTimer } from "@wasabivane/common";
import { StallDetector } from "@wasabivane/entry";

/** A timer whose process can be paused: calls that come due wait until it runs on. */
class PausableTimer extends VirtualTimer {
  isPaused = false;

  override every(period: number, callback: () => void): { cancel(): void } {
    return super.every(period, () => {
      if (!this.isPaused) callback();
    });
  }
}

test("a request that is read while the process runs has just arrived", (t) => {
  const timer = new VirtualTimer();
  const watch = new StallDetector({ timer });
  watch.start();
  timer.advance(5_050);
  t.is(watch.earliestArrival(), 5_000);
});

// The process sleeps for a minute with a caller's request in its socket. When it
// wakes, the request may be as old as the sleep, for as long as it takes to read
// what came in meanwhile; afterwards requests are fresh again.
test("a request that is read after a stall may be as old as the stall", (t) => {
  const timer = new PausableTimer();
  const watch = new StallDetector({ timer });
  watch.start();
  timer.advance(1_000);
  timer.isPaused = true;
  timer.advance(60_000);
  t.is(watch.earliestArrival(), 1_000);
  timer.isPaused = false;
  timer.advance(100);
  t.is(watch.earliestArrival(), 1_000);
  timer.advance(3_000);
  t.true(watch.earliestArrival() > 63_000);
});
