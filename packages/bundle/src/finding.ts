import { closestWord } from "./closestWord.ts";

const MAX_LISTED_WORDS = 24;

/** The location of a value in a document: keys and indexes from the root. */
export type DocumentPath = readonly (string | number)[];

/** A problem with a value in a document. */
export interface Finding {
  readonly path: DocumentPath;
  readonly message: string;
  /** Describes the values that are allowed instead. */
  readonly allowed: string;
  /** Whether the path ends in a key that the schema does not define. */
  readonly isUnknownKey?: boolean;
}

/** Formats a path such as `upstreams[3].service`. */
export function formatPath(path: DocumentPath): string {
  if (path.length === 0) return "top level";
  return path.map(formatStep).join("").replace(/^\./, "");
}

/** Lists the allowed words in quotes and suggests the closest to `found`. */
export function listAllowed(
  words: readonly (string | number)[],
  { found }: { found?: string } = {},
): string {
  const listed = words.slice(0, MAX_LISTED_WORDS).map((word) =>
    JSON.stringify(word)
  );
  if (words.length > MAX_LISTED_WORDS) {
    listed.push(`and ${words.length - MAX_LISTED_WORDS} more`);
  }
  const list = listed.length === 0 ? "nothing" : listed.join(", ");
  if (found === undefined) return list;
  const closest = closestWord(found, words.map(String));
  return closest === undefined
    ? list
    : `${list} (did you mean ${JSON.stringify(closest)}?)`;
}

function formatStep(step: string | number): string {
  if (typeof step === "number") return `[${step}]`;
  return /^[\w$-]+$/.test(step) ? `.${step}` : `[${JSON.stringify(step)}]`;
}
