import test from "ava";
import {
  readSettingsReference,
  renderSettingsReference,
} from "../../../scripts/settingsReference.ts";

/** Removes the padding that the formatter adds to table cells. */
function withoutPadding(text: string): string {
  return text.replace(/ +/g, " ").replace(/-{3,}/g, "---");
}

test("the settings reference in the operators' guide matches the schemas", (t) => {
  t.is(
    withoutPadding(readSettingsReference()),
    withoutPadding(renderSettingsReference()),
    "Run `npx tsx --conditions=source scripts/settingsReference.ts && npx deno fmt`",
  );
});

test("every setting in the reference has a description", (t) => {
  const rows = renderSettingsReference().split("\n").filter((line) =>
    line.startsWith("| `")
  );
  t.deepEqual(rows.filter((line) => /\|\s+\|$/.test(line)), []);
});
