import type { Digest } from "@wasabivane/common";

/**
 * LRU cache of prompt prefix blocks. A prompt's earlier blocks count as more
 * recently used than its later ones, which are useless without them.
 */
export class PrefixCache {
  readonly #blocks = new Set<Digest>();

  get size(): number {
    return this.#blocks.size;
  }

  has(digest: Digest): boolean {
    return this.#blocks.has(digest);
  }

  /** Returns how many leading blocks are cached, and marks them as used. */
  matchPrefix(digests: readonly Digest[]): number {
    let count = 0;
    while (count < digests.length && this.#blocks.has(digests[count]!)) count++;
    for (let index = count - 1; index >= 0; index--) {
      this.#markUsed(digests[index]!);
    }
    return count;
  }

  /** Adds the blocks of a prompt and returns those that were not cached. */
  store(digests: readonly Digest[]): Digest[] {
    const added = digests.filter((digest) => !this.#blocks.has(digest));
    for (let index = digests.length - 1; index >= 0; index--) {
      this.#markUsed(digests[index]!);
    }
    return added;
  }

  /** Evicts blocks until at most `maximum` are left, and returns them. */
  evictTo(maximum: number): Digest[] {
    const evicted: Digest[] = [];
    for (const digest of this.#blocks) {
      if (this.#blocks.size <= maximum) break;
      this.#blocks.delete(digest);
      evicted.push(digest);
    }
    return evicted;
  }

  clear(): void {
    this.#blocks.clear();
  }

  #markUsed(digest: Digest): void {
    this.#blocks.delete(digest);
    this.#blocks.add(digest);
  }
}
