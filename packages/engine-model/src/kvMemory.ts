import {
  BYTES_PER_TOKEN,
  type Digest,
  PREFIX_BLOCK_BYTES,
} from "@wasabivane/common";
import type { CacheEventLog } from "./cacheEventLog.ts";
import { PrefixCache } from "./prefixCache.ts";

/** Prompt tokens in one block of the prefix cache. */
export const TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN;

/** KV memory; the prefix cache uses what running requests leave free. */
export class KvMemory {
  readonly #capacityTokens: number;
  readonly #events: CacheEventLog;
  readonly #cache = new PrefixCache();
  #reservedTokens = 0;

  constructor(capacityTokens: number, events: CacheEventLog) {
    this.#capacityTokens = capacityTokens;
    this.#events = events;
  }

  /** Share of the memory reserved by running requests, 0 to 1. */
  get reservedShare(): number {
    return Math.min(1, this.#reservedTokens / this.#capacityTokens);
  }

  hasCapacity(tokens: number): boolean {
    return this.#reservedTokens + tokens <= this.#capacityTokens;
  }

  /** Reserves memory, evicting cached blocks that no longer fit. */
  reserve(tokens: number): void {
    this.#reservedTokens += tokens;
    this.#evictExcessBlocks();
  }

  release(tokens: number): void {
    this.#reservedTokens -= tokens;
  }

  /** Returns the tokens of a prompt's longest cached prefix. */
  matchPrefix(digests: readonly Digest[]): number {
    return this.#cache.matchPrefix(digests) * TOKENS_PER_BLOCK;
  }

  /** Returns the digests whose blocks are cached. */
  cachedBlocks(digests: readonly Digest[]): Digest[] {
    return digests.filter((digest) => this.#cache.has(digest));
  }

  /** Caches the blocks of a prompt as far as memory allows. */
  store(digests: readonly Digest[]): void {
    const added = this.#cache.store(digests);
    if (added.length > 0) this.#events.record("stored", added);
    this.#evictExcessBlocks();
  }

  clearCache(): void {
    this.#cache.clear();
    this.#events.record("cleared", []);
  }

  #evictExcessBlocks(): void {
    const freeTokens = this.#capacityTokens - this.#reservedTokens;
    const maximumBlocks = Math.max(
      0,
      Math.floor(freeTokens / TOKENS_PER_BLOCK),
    );
    if (this.#cache.size <= maximumBlocks) return;
    this.#events.record("evicted", this.#cache.evictTo(maximumBlocks));
  }
}
