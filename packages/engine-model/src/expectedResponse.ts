import { createHash } from "node:crypto";

/** Chat message, reduced to the text that engines use. */
export interface ChatMessage {
  readonly content?:
    | string
    | readonly { readonly text?: string }[]
    | null;
}

const TOKEN_COUNT_MARKER = /\[\[tokens=(\d{1,6})\]\]/;
const MINIMUM_RESPONSE_TOKENS = 8;
const RESPONSE_TOKENS_RANGE = 120;
const TOKEN_CHARACTERS = 5;
const TOKEN_BASE = 36;
const TOKEN_VALUES = TOKEN_BASE ** TOKEN_CHARACTERS;
/** Multipliers of the MurmurHash3 finalizer. */
const MURMUR_MULTIPLIER_1 = 0x85ebca6b;
const MURMUR_MULTIPLIER_2 = 0xc2b2ae35;

/** Joins the text of all messages; prefix digests are computed from it. */
export function promptText(messages: readonly ChatMessage[]): string {
  return messages.map(({ content }) => textOfContent(content)).join("\n");
}

/** Returns the seed that determines the response to a prompt. */
export function responseSeed(prompt: string): number {
  return createHash("sha256").update(prompt).digest().readUInt32BE();
}

/** Returns the text of one response token, which needs no JSON escaping. */
export function responseToken(seed: number, index: number): string {
  let mixed = Math.imul(
    seed ^ Math.imul(index + 1, MURMUR_MULTIPLIER_1),
    MURMUR_MULTIPLIER_2,
  );
  mixed = Math.imul(mixed ^ (mixed >>> 15), MURMUR_MULTIPLIER_1);
  const value = ((mixed ^ (mixed >>> 13)) >>> 0) % TOKEN_VALUES;
  return ` ${value.toString(TOKEN_BASE).padStart(TOKEN_CHARACTERS, "0")}`;
}

/** Returns the first `tokens` tokens of the response to a prompt. */
export function expectedResponse(prompt: string, tokens: number): string {
  const seed = responseSeed(prompt);
  let text = "";
  for (let index = 0; index < tokens; index++) {
    text += responseToken(seed, index);
  }
  return text;
}

/** Returns a prompt marker that sets the response length in tokens. */
export function tokenCountMarker(tokens: number): string {
  return `[[tokens=${tokens}]]`;
}

/** Returns the response length for a prompt in tokens, at most `maximum`. */
export function responseLength(prompt: string, maximum = Infinity): number {
  const markedCount = TOKEN_COUNT_MARKER.exec(prompt)?.[1];
  const length = markedCount === undefined
    ? MINIMUM_RESPONSE_TOKENS + responseSeed(prompt) % RESPONSE_TOKENS_RANGE
    : Number(markedCount);
  return Math.max(1, Math.min(length, maximum));
}

function textOfContent(content: ChatMessage["content"]): string {
  if (typeof content === "string") return content;
  return (content ?? []).map(({ text }) => text ?? "").join("");
}
