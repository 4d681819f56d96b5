import test from "ava";
import { asTier } from "@wasabivane/common";
import { ShortRoom } from "../src/shortRoom.ts";

const LONG = { tier: asTier(1), hold: 2_000 };
const SHORT = { tier: asTier(3), hold: 100 };

test("short work passes only as far as longer, more urgent work has earned it", (t) => {
  const room = new ShortRoom();
  t.deepEqual(room.passing([SHORT]), []);
  room.noteStart(LONG, false);
  t.deepEqual(room.passing([SHORT, SHORT, SHORT, SHORT]).length, 3);
  for (let passed = 0; passed < 3; passed++) room.noteStart(SHORT, true);
  t.deepEqual(room.passing([SHORT]), []);
});

test("work of about the same length waits for its turn", (t) => {
  const room = new ShortRoom();
  for (let index = 0; index < 10; index++) room.noteStart(LONG, false);
  t.deepEqual(room.passing([{ tier: asTier(2), hold: 800 }]), []);
  t.is(room.passing([{ tier: asTier(2), hold: 400 }]).length, 1);
});

test("the most urgent tier has nobody to pass", (t) => {
  const room = new ShortRoom();
  for (let index = 0; index < 10; index++) room.noteStart(LONG, false);
  t.deepEqual(room.passing([{ tier: asTier(1), hold: 10 }]), []);
});
