import { VirtualTimer } from "@wasabivane/common";
import test from "ava";
import { afterFreshPoll } from "../src/afterFreshPoll.ts";

const STANDSTILL_MS = 1_000;

/** Returns the iterations of the event loop until the callback. */
function countIterations(
  timer: VirtualTimer,
  onIteration: (iteration: number) => void,
): Promise<number> {
  return new Promise((resolve) => {
    let iterations = 0;
    let isOver = false;
    const count = (): void => {
      onIteration(++iterations);
      if (!isOver) setImmediate(count);
    };
    afterFreshPoll(timer, () => {
      isOver = true;
      resolve(iterations);
    });
    setImmediate(count);
  });
}

test("a process that stood still after a poll polls again", async (t) => {
  // Guards against sends after a standstill whose closes were not read.
  const timer = new VirtualTimer();
  const usual = await countIterations(timer, () => {});
  const late = await countIterations(timer, (iteration) => {
    if (iteration === 1) timer.advance(STANDSTILL_MS);
  });
  t.is(usual, 1);
  t.is(late, 3);
});

test("iterations that are always long do not keep a request for ever", async (t) => {
  // Guards against a slow host that sends nothing.
  const timer = new VirtualTimer();
  const iterations = await countIterations(
    timer,
    () => timer.advance(STANDSTILL_MS),
  );
  t.true(iterations < 10);
});
