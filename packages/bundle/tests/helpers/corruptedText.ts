import fc from "fast-check";

/** Generates copies of a text with a few characters replaced. */
export function corruptedText(text: string): fc.Arbitrary<string> {
  return fc.tuple(
    fc.nat(text.length - 1),
    fc.nat(3),
    fc.string({ unit: "grapheme", maxLength: 3 }),
  ).map(([start, length, replacement]) =>
    text.slice(0, start) + replacement + text.slice(start + length)
  );
}
