import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import fc from "fast-check";
import {
  bundleDifferenceSchema,
  bundleSchema,
  type DocumentError,
  exampleBundle,
  formatDocumentError,
  hostListSchema,
  operatorSettingsSchema,
  parseDocument,
  readDocument,
  signedBundleSchema,
  trustedKeysSchema,
} from "@wasabivane/bundle";
import { z } from "zod";
import { corruptedText } from "./helpers/corruptedText.ts";

const settingsSchema = z.strictObject({
  port: z.number().int().min(1).max(65535),
  log: z.strictObject({ level: z.enum(["info", "debug"]).default("info") })
    .optional(),
  entries: z.array(z.url({ protocol: /^https?$/ })).default([]),
});

function errorsOf(text: string): DocumentError[] {
  return parseDocument(text, settingsSchema, { file: "s.jsonc" })
    ._unsafeUnwrapErr();
}

function linesOf(text: string): string[] {
  return errorsOf(text).map(formatDocumentError);
}

test("comments and trailing commas are accepted and defaults filled in", (t) => {
  const text = '// port of callers\n{ "port": 80, /* none */ "log": {}, }';
  const read = parseDocument(text, settingsSchema, { file: "s.jsonc" });
  t.deepEqual(read._unsafeUnwrap(), {
    port: 80,
    log: { level: "info" },
    entries: [],
  });
});

test("an error names the file, line, path and allowed values", (t) => {
  t.deepEqual(
    linesOf('{\n  "prot": 1,\n  "port": 70000,\n  "entries": ["x"]\n}'),
    [
      "s.jsonc:3:11: port: 70000 is not allowed; allowed: at most 65535",
      's.jsonc:4:15: entries[0]: "x" is not allowed; allowed: a URL, such as http://127.0.0.1:7101',
      's.jsonc:2:3: prot: Unknown key "prot"; allowed: "port", "log", "entries" (did you mean "port"?)',
    ],
  );
  t.deepEqual(linesOf('{ "port": 1, "log": { "level": "debgu" } }'), [
    's.jsonc:1:32: log.level: "debgu" is not allowed; allowed: "info", "debug" (did you mean "debug"?)',
  ]);
  t.deepEqual(linesOf("{}"), [
    "s.jsonc:1:1: port: Missing value; allowed: a number",
  ]);
});

test("an unknown key in a union branch suggests the keys of that branch", (t) => {
  const [error] = parseDocument(
    '{"changed": [{"kind": "tier", "value": {"tier": 1, "name": "a", "deadlineMs": 1, "wieght": 2}}]}',
    bundleDifferenceSchema.pick({ changed: true }),
    { file: "d.json" },
  )._unsafeUnwrapErr();
  t.is(error!.path, "changed[0].value.wieght");
  t.regex(error!.allowed, /did you mean "weight"\?/);
});

test("duplicate keys, invalid syntax and deep nesting are errors", (t) => {
  t.is(errorsOf('{"port": 1, "port": 2}')[0]!.kind, "duplicate-key");
  t.is(errorsOf('{"port": 1, "__proto__": {}}')[0]!.kind, "duplicate-key");
  t.is(errorsOf('{"port" 1}')[0]!.kind, "syntax");
  t.is(errorsOf("")[0]!.kind, "syntax");
  t.is(errorsOf("[".repeat(200_000))[0]!.kind, "syntax");
});

test("a missing file, invalid UTF-8 and a directory are errors", (t) => {
  const folder = mkdtempSync(join(tmpdir(), "wasabivane-"));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const file = join(folder, "latin.json");
  writeFileSync(file, new Uint8Array([0x22, 0xe9, 0x22]));
  const kinds = [join(folder, "absent.json"), file, folder].map((name) =>
    readDocument(name, settingsSchema)._unsafeUnwrapErr()[0]!.kind
  );
  t.deepEqual(kinds, ["unreadable", "not-utf8", "unreadable"]);
});

test("any text gives a value or errors with a valid location", (t) => {
  const schemas: z.ZodType[] = [
    settingsSchema,
    bundleSchema,
    signedBundleSchema,
    bundleDifferenceSchema,
    trustedKeysSchema,
    hostListSchema,
    operatorSettingsSchema,
  ];
  const example = JSON.stringify(exampleBundle("cairo"), null, 1);
  const text = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.json(),
    corruptedText(example),
  );
  const property = fc.property(
    text,
    fc.constantFrom(...schemas),
    (given, schema) => {
      const read = parseDocument(given, schema, { file: "any" });
      if (read.isOk()) return true;
      const lines = given.split("\n").length;
      return read.error.length > 0 &&
        read.error.every(({ line, column }) =>
          line >= 1 && line <= lines && column >= 1
        );
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 5, numRuns: 300 }));
});
