import test from "ava";
import fc from "fast-check";
import { isPathSafe } from "../src/requestHead.ts";

const PIECES = [
  "/",
  "\\",
  ".",
  "..",
  "%2e",
  "%2E",
  "%2f",
  "%5c",
  "%252e",
  "%25",
  "%",
  "%00",
  ";",
  "a",
  "%c3%a9",
];

/** Resolves a path like an upstream that decodes it twice. */
function resolvedTwice(path: string): string {
  const once = new URL(`http://upstream${path}`).pathname;
  const decoded = once.replace(
    /%([0-9a-f]{2})/gi,
    (_escape, hex) => String.fromCharCode(parseInt(hex, 16)),
  );
  const parts: string[] = [];
  for (const part of decoded.split(/[/\\]/)) {
    if (part === "..") parts.pop();
    else if (part !== ".") parts.push(part);
  }
  return parts.join("/");
}

test("an accepted path stays below its prefix even when decoded twice", (t) => {
  const tails = fc.array(fc.constantFrom(...PIECES), { maxLength: 12 });
  fc.assert(
    fc.property(tails, (tail) => {
      const path = `/casefile/${tail.join("")}`;
      return !isPathSafe(path) || resolvedTwice(path).startsWith("/casefile");
    }),
    { numRuns: 5_000, seed: 7 },
  );
  t.pass();
});

test("paths with ordinary escapes are accepted", (t) => {
  for (
    const path of ["/a", "/a%20b", "/caf%C3%A9", "/100%25", "/a.b/..c", "*"]
  ) {
    t.true(isPathSafe(path), path);
  }
});
