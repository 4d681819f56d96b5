import test from "ava";
import { asTier } from "@wasabivane/common";
import { BypassBudget } from "../src/bypassBudget.ts";

const LONG = { tier: asTier(1), slotTime: 2_000 };
const SHORT = { tier: asTier(3), slotTime: 100 };

test("short requests bypass others only within the budget", (t) => {
  const budget = new BypassBudget();
  t.deepEqual(budget.selectBypassing([SHORT]), []);
  budget.recordStart(LONG, false);
  t.deepEqual(budget.selectBypassing([SHORT, SHORT, SHORT, SHORT]).length, 3);
  for (let passed = 0; passed < 3; passed++) budget.recordStart(SHORT, true);
  t.deepEqual(budget.selectBypassing([SHORT]), []);
});

test("requests of similar length do not bypass others", (t) => {
  const budget = new BypassBudget();
  for (let index = 0; index < 10; index++) budget.recordStart(LONG, false);
  t.deepEqual(budget.selectBypassing([{ tier: asTier(2), slotTime: 800 }]), []);
  t.is(budget.selectBypassing([{ tier: asTier(2), slotTime: 400 }]).length, 1);
});

test("requests of the most urgent tier do not bypass others", (t) => {
  const budget = new BypassBudget();
  for (let index = 0; index < 10; index++) budget.recordStart(LONG, false);
  t.deepEqual(budget.selectBypassing([{ tier: asTier(1), slotTime: 10 }]), []);
});
