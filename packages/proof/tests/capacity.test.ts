import { SLOPES } from "@wasabivane/proof";
import test from "ava";
import {
  readCapacityPage,
  readSlopes,
  renderCapacityPage,
} from "../../../scripts/capacityTables.ts";

const NAMES = SLOPES.map(({ name }) => name);
const SLOPE_NAME = /`([a-z]+(?:-[a-z]+)+)`/g;

test("the capacity page names exactly the measured slopes", (t) => {
  const named = [...readCapacityPage().matchAll(SLOPE_NAME)].map(([, name]) =>
    name
  );
  t.deepEqual([...new Set(named)].sort(), [...NAMES].sort());
});

test("the capacity page is generated from a single run of all slopes", (t) => {
  const measured = readSlopes().map(({ name }) => name);
  t.deepEqual(measured, NAMES);
  t.is(
    withoutPadding(readCapacityPage()),
    withoutPadding(renderCapacityPage(readCapacityPage(), readSlopes())),
    "Run `npx tsx --conditions=source scripts/capacityTables.ts && npx deno fmt`",
  );
});

/** Removes the cell padding that the formatter adds to tables. */
function withoutPadding(text: string): string {
  return text.replaceAll(/ +/g, " ").replaceAll(/-{2,}/g, "--");
}
