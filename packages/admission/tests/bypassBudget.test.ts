import test from "ava";
import { asTier } from "@wasabivane/common";
import { BypassBudget } from "../src/bypassBudget.ts";

const LONG = { tier: asTier(1), hold: 2_000 };
const SHORT = { tier: asTier(3), hold: 100 };

test("short work passes only as far as longer, more urgent work has earned it", (t) => {
  const room = new BypassBudget();
  t.deepEqual(room.selectBypassing([SHORT]), []);
  room.recordStart(LONG, false);
  t.deepEqual(room.selectBypassing([SHORT, SHORT, SHORT, SHORT]).length, 3);
  for (let passed = 0; passed < 3; passed++) room.recordStart(SHORT, true);
  t.deepEqual(room.selectBypassing([SHORT]), []);
});

test("work of about the same length waits for its turn", (t) => {
  const room = new BypassBudget();
  for (let index = 0; index < 10; index++) room.recordStart(LONG, false);
  t.deepEqual(room.selectBypassing([{ tier: asTier(2), hold: 800 }]), []);
  t.is(room.selectBypassing([{ tier: asTier(2), hold: 400 }]).length, 1);
});

test("the most urgent tier has nobody to pass", (t) => {
  const room = new BypassBudget();
  for (let index = 0; index < 10; index++) room.recordStart(LONG, false);
  t.deepEqual(room.selectBypassing([{ tier: asTier(1), hold: 10 }]), []);
});
