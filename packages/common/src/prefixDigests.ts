import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { Digest } from "./ids.ts";

/** The size of one block of the prefix cache. */
export const PREFIX_BLOCK_BYTES = 256;
/** Estimates a token where no tokenizer is available. */
export const BYTES_PER_TOKEN = 4;
/** The number of leading blocks that are digested. */
export const MAX_PREFIX_BLOCKS = 256;

const DIGEST_CHARACTERS = 16;

/**
 * Computes the digests of a prompt's full leading blocks. Each digest includes
 * the previous one, so that equal digests mean equal prefixes for one salt.
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

/** Estimates the number of tokens in a text from its size, at least 1. */
export function estimateTokens(bytes: number): number {
  return Math.max(1, Math.ceil(bytes / BYTES_PER_TOKEN));
}
