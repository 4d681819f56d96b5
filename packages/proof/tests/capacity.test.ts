import { SLOPES } from "@wasabivane/proof";
import test from "ava";
import {
  readCapacityPage,
  readSlopes,
  renderCapacityPage,
} from "../../../scripts/capacityTables.ts";

const NAMES = SLOPES.map(({ name }) => name);
const SLOPE_NAME = /`([a-z]+(?:-[a-z]+)+)`/g;

test("every slope that the page names is measured, and the page names all", (t) => {
  const named = [...readCapacityPage().matchAll(SLOPE_NAME)].map(([, name]) =>
    name
  );
  t.deepEqual([...new Set(named)].sort(), [...NAMES].sort());
});

test("the figures of the page come from one run of all slopes", (t) => {
  const measured = readSlopes().map(({ name }) => name);
  t.deepEqual(measured, NAMES);
  t.is(
    withoutPadding(readCapacityPage()),
    withoutPadding(renderCapacityPage(readCapacityPage(), readSlopes())),
    "Run `npx tsx --conditions=source scripts/capacityTables.ts && npx deno fmt`",
  );
});

/** The formatter pads the cells of tables. */
function withoutPadding(text: string): string {
  return text.replaceAll(/ +/g, " ").replaceAll(/-{2,}/g, "--");
}
