import { createHash } from "node:crypto";

/** One message of a chat; only its text matters to an engine. */
export interface ChatMessage {
  readonly content?:
    | string
    | readonly { readonly text?: string }[]
    | null;
}

const MARKED_TOKENS = /\[\[tokens=(\d{1,6})\]\]/;
const SHORTEST_ANSWER = 8;
const ANSWER_LENGTHS = 120;
const TOKEN_CHARACTERS = 5;
const TOKEN_BASE = 36;
const TOKEN_VALUES = TOKEN_BASE ** TOKEN_CHARACTERS;
/** Odd constants of the murmur3 finalizer. */
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/** The text of all messages, as the entry hosts and the engines digest it. */
export function promptText(messages: readonly ChatMessage[]): string {
  return messages.map(({ content }) => textOf(content)).join("\n");
}

/** What the answer to a prompt depends on. */
export function responseSeed(prompt: string): number {
  return createHash("sha256").update(prompt).digest().readUInt32BE();
}

/** The text of one token of an answer; it needs no escaping in JSON. */
export function responseToken(seed: number, index: number): string {
  let mixed = Math.imul(seed ^ Math.imul(index + 1, MIX_FIRST), MIX_SECOND);
  mixed = Math.imul(mixed ^ (mixed >>> 15), MIX_FIRST);
  const value = ((mixed ^ (mixed >>> 13)) >>> 0) % TOKEN_VALUES;
  return ` ${value.toString(TOKEN_BASE).padStart(TOKEN_CHARACTERS, "0")}`;
}

/** The first `tokens` tokens of the answer to a prompt, so that receivers can check theirs. */
export function expectedResponse(prompt: string, tokens: number): string {
  const seed = responseSeed(prompt);
  let answer = "";
  for (let index = 0; index < tokens; index++) {
    answer += responseToken(seed, index);
  }
  return answer;
}

/** Asks the stand-in engine for an answer of so many tokens. */
export function tokenCountMarker(tokens: number): string {
  return `[[tokens=${tokens}]]`;
}

/** How long the stand-in engine's answer to a prompt is, at most `maximum`. */
export function responseLength(prompt: string, maximum = Infinity): number {
  const marked = MARKED_TOKENS.exec(prompt)?.[1];
  const wanted = marked === undefined
    ? SHORTEST_ANSWER + responseSeed(prompt) % ANSWER_LENGTHS
    : Number(marked);
  return Math.max(1, Math.min(wanted, maximum));
}

function textOf(content: ChatMessage["content"]): string {
  if (typeof content === "string") return content;
  return (content ?? []).map(({ text }) => text ?? "").join("");
}
