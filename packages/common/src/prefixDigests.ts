import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { Digest } from "./ids.ts";

/** Bytes of prompt text in one cached block. */
export const PREFIX_BLOCK_BYTES = 256;
/** Bytes of prompt text that count as one token where no tokenizer is known. */
export const BYTES_PER_TOKEN = 4;
/** Leading blocks that are digested; longer prompts share no more than these. */
export const MAX_PREFIX_BLOCKS = 256;

const DIGEST_CHARACTERS = 16;

/**
 * Digests of a prompt's whole leading blocks, each chained to the one before,
 * so that equal digests mean equal prefixes under the same salt.
 */
export function prefixDigests(salt: string, prompt: string): Digest[] {
  const bytes = Buffer.from(prompt, "utf8");
  const blocks = Math.min(
    Math.floor(bytes.length / PREFIX_BLOCK_BYTES),
    MAX_PREFIX_BLOCKS,
  );
  const digests: Digest[] = [];
  let previous = salt;
  for (let index = 0; index < blocks; index++) {
    const start = index * PREFIX_BLOCK_BYTES;
    const hash = createHash("sha256").update(previous).update("\0");
    hash.update(bytes.subarray(start, start + PREFIX_BLOCK_BYTES));
    previous = hash.digest("hex").slice(0, DIGEST_CHARACTERS);
    digests.push(previous as Digest);
  }
  return digests;
}

/** Tokens in a text of so many bytes, at least one. */
export function estimateTokens(bytes: number): number {
  return Math.max(1, Math.ceil(bytes / BYTES_PER_TOKEN));
}
