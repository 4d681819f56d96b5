import { closestWord } from "./closestWord.ts";

/** Names listed in one text before the rest is only counted. */
const MAX_LISTED = 24;

/** Where a value stands in a document: keys and indexes from the top. */
export type DocumentPath = readonly (string | number)[];

/** One thing wrong with a value. */
export interface Finding {
  readonly path: DocumentPath;
  readonly message: string;
  /** What may stand there instead. */
  readonly allowed: string;
  /** Whether the path names a key that should not be there. */
  readonly isUnknownKey?: boolean;
}

/** A path as people write it, such as `upstreams[3].service`. */
export function formatPath(path: DocumentPath): string {
  if (path.length === 0) return "top level";
  return path.map(formatStep).join("").replace(/^\./, "");
}

/** The allowed words in quotes, the likely one first. */
export function listAllowed(
  words: readonly (string | number)[],
  { found }: { found?: string } = {},
): string {
  const listed = words.slice(0, MAX_LISTED).map((word) => JSON.stringify(word));
  if (words.length > MAX_LISTED) {
    listed.push(`and ${words.length - MAX_LISTED} more`);
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
