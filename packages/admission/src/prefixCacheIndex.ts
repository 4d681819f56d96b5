import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { PromptPart } from "./types.ts";

/** Engines let the least recently used parts go; after so long one is taken for gone. */
const KEPT_MS: Milliseconds = 20_000;
/** Parts remembered of one upstream: about what its memory holds of usual prompts. */
const MAXIMUM_PARTS = 512;
/** Upstreams remembered: more than a cell has; those that left are the first to go. */
const MAXIMUM_UPSTREAMS = 256;
const NOBODY: ReadonlySet<UpstreamId> = new Set();

/**
 * Which parts of prompts each upstream has read, as far as whoever places requests
 * sent them there.
 *
 * Answers the load pattern of prompts that begin alike, by account or by session.
 * Spread over all engines, each reads every common beginning once more; a fifth of
 * what engines read can be saved by going back to where it was read.
 */
export class PrefixCacheIndex {
  readonly #read = new Map<UpstreamId, Map<string, Milliseconds>>();
  readonly #holders = new Map<string, Set<UpstreamId>>();

  /** A prompt of these parts goes to an upstream. */
  recordPrompt(
    upstream: UpstreamId,
    parts: readonly PromptPart[],
    now: Milliseconds,
  ): void {
    if (parts.length === 0) return;
    const read = this.#readAt(upstream);
    for (const { part } of parts) {
      read.delete(part);
      read.set(part, now);
      this.#noteHolder(part, upstream);
    }
    for (const oldest of read.keys()) {
      if (read.size <= MAXIMUM_PARTS) return;
      read.delete(oldest);
      this.#forgetHolder(oldest, upstream);
    }
  }

  /** Upstreams that have read the longest beginning of a prompt which any has read. */
  upstreamsCaching(parts: readonly PromptPart[]): ReadonlySet<UpstreamId> {
    for (const { part } of parts.toReversed()) {
      const holders = this.#holders.get(part);
      if (holders !== undefined) return holders;
    }
    return NOBODY;
  }

  /** Tokens of the longest beginning of a prompt that an upstream likely holds. */
  cachedTokens(
    upstream: UpstreamId,
    parts: readonly PromptPart[],
    now: Milliseconds,
  ): number {
    const read = this.#read.get(upstream);
    if (read === undefined) return 0;
    let tokens = 0;
    for (const { part, tokens: count } of parts) {
      const at = read.get(part);
      if (at === undefined || now - at > KEPT_MS) return tokens;
      tokens += count;
    }
    return tokens;
  }

  #forget(upstream: UpstreamId): void {
    const read = this.#read.get(upstream);
    this.#read.delete(upstream);
    for (const part of read?.keys() ?? []) this.#forgetHolder(part, upstream);
  }

  /** What an upstream has read; it is the last to be forgotten now. */
  #readAt(upstream: UpstreamId): Map<string, Milliseconds> {
    const read = this.#read.get(upstream) ?? new Map<string, Milliseconds>();
    this.#read.delete(upstream);
    this.#read.set(upstream, read);
    const [oldest] = this.#read.keys();
    if (this.#read.size > MAXIMUM_UPSTREAMS) this.#forget(oldest!);
    return read;
  }

  #noteHolder(part: string, upstream: UpstreamId): void {
    const holders = this.#holders.get(part) ?? new Set();
    holders.add(upstream);
    this.#holders.set(part, holders);
  }

  #forgetHolder(part: string, upstream: UpstreamId): void {
    const holders = this.#holders.get(part);
    holders?.delete(upstream);
    if (holders?.size === 0) this.#holders.delete(part);
  }
}
