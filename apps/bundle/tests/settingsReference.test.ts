import test from "ava";
import {
  settingsReference,
  writtenReference,
} from "../../../scripts/settingsReference.ts";

/** Without the formatter's padding of table cells. */
function withoutPadding(text: string): string {
  return text.replace(/ +/g, " ").replace(/-{3,}/g, "---");
}

test("the settings reference of the operators' guide is made from the schemas", (t) => {
  t.is(
    withoutPadding(writtenReference()),
    withoutPadding(settingsReference()),
    "Run `npx tsx --conditions=source scripts/settingsReference.ts && npx deno fmt`",
  );
});

test("every setting in the reference has a meaning", (t) => {
  const rows = settingsReference().split("\n").filter((line) =>
    line.startsWith("| `")
  );
  t.deepEqual(rows.filter((line) => /\|\s+\|$/.test(line)), []);
});
