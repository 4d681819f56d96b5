import test from "ava";
import { VirtualTimer } from "@wasabivane/common";

test("calls run by due time, then by order of subscription", (t) => {
  const timer = new VirtualTimer();
  const seen: string[] = [];
  timer.after(20, () => seen.push("late"));
  timer.after(10, () => seen.push("first"));
  timer.after(10, () => seen.push("second"));
  timer.advance(20);
  t.deepEqual(seen, ["first", "second", "late"]);
});

test("a cancelled periodic call does not run again", (t) => {
  const timer = new VirtualTimer();
  let calls = 0;
  const subscription = timer.every(10, () => {
    calls++;
    if (calls === 3) subscription.cancel();
  });
  timer.advance(100);
  t.is(calls, 3);
});
