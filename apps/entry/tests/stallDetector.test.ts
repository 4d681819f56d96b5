import test from "ava";
import { VirtualTimer } from "@wasabivane/common";
import { StallDetector } from "@wasabivane/entry";

/** A timer that simulates a paused process by skipping periodic callbacks. */
class PausableTimer extends VirtualTimer {
  isPaused = false;

  override every(period: number, callback: () => void): { cancel(): void } {
    return super.every(period, () => {
      if (!this.isPaused) callback();
    });
  }
}

test("without a stall, a request arrived after the last tick", (t) => {
  const timer = new VirtualTimer();
  const detector = new StallDetector({ timer });
  detector.start();
  timer.advance(5_050);
  t.is(detector.earliestArrival(), 5_000);
});

// Guards against treating a request as new that arrived before or during a
// pause.
test("after a stall, a request may have arrived at its start until the backlog is read", (t) => {
  const timer = new PausableTimer();
  const detector = new StallDetector({ timer });
  detector.start();
  timer.advance(1_000);
  timer.isPaused = true;
  timer.advance(60_000);
  t.is(detector.earliestArrival(), 1_000);
  timer.isPaused = false;
  timer.advance(100);
  t.is(detector.earliestArrival(), 1_000);
  timer.advance(3_000);
  t.true(detector.earliestArrival() > 63_000);
});
