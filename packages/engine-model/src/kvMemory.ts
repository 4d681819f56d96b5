import {
  BYTES_PER_TOKEN,
  type Digest,
  PREFIX_BLOCK_BYTES,
} from "@wasabivane/common";
import type { CacheEventLog } from "./cacheEventLog.ts";
import { PrefixCache } from "./prefixCache.ts";

/** Tokens of prompt that one cached block saves. */
export const TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN;

/** KV memory: what running requests hold comes first, cached prefixes have the rest. */
export class KvMemory {
  readonly #capacityTokens: number;
  readonly #events: CacheEventLog;
  readonly #cache = new PrefixCache();
  #reservedTokens = 0;

  constructor(capacityTokens: number, events: CacheEventLog) {
    this.#capacityTokens = capacityTokens;
    this.#events = events;
  }

  /** Share of the memory that running requests hold, 0 to 1. */
  get reservedShare(): number {
    return Math.min(1, this.#reservedTokens / this.#capacityTokens);
  }

  hasCapacity(tokens: number): boolean {
    return this.#reservedTokens + tokens <= this.#capacityTokens;
  }

  reserve(tokens: number): void {
    this.#reservedTokens += tokens;
    this.#shrinkCache();
  }

  release(tokens: number): void {
    this.#reservedTokens -= tokens;
  }

  /** Tokens of a prompt's longest cached prefix. */
  matchPrefix(digests: readonly Digest[]): number {
    return this.#cache.matchPrefix(digests) * TOKENS_PER_BLOCK;
  }

  cachedBlocks(digests: readonly Digest[]): Digest[] {
    return digests.filter((digest) => this.#cache.has(digest));
  }

  store(digests: readonly Digest[]): void {
    const added = this.#cache.store(digests);
    if (added.length > 0) this.#events.record("stored", added);
    this.#shrinkCache();
  }

  clearCache(): void {
    this.#cache.clear();
    this.#events.record("cleared", []);
  }

  #shrinkCache(): void {
    const free = this.#capacityTokens - this.#reservedTokens;
    const bound = Math.max(0, Math.floor(free / TOKENS_PER_BLOCK));
    if (this.#cache.size <= bound) return;
    this.#events.record("evicted", this.#cache.evictTo(bound));
  }
}
