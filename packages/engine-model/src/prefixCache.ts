import type { Digest } from "@wasabivane/common";

/**
 * Blocks of computed prompt prefixes, the least recently used evicted first. A
 * prompt's later blocks count as used before its earlier ones, since a block
 * without the ones before it is of no use.
 */
export class PrefixCache {
  readonly #blocks = new Set<Digest>();

  get size(): number {
    return this.#blocks.size;
  }

  has(digest: Digest): boolean {
    return this.#blocks.has(digest);
  }

  /** How many leading blocks of a prompt are held; marks them as used. */
  matchPrefix(digests: readonly Digest[]): number {
    let count = 0;
    while (count < digests.length && this.#blocks.has(digests[count]!)) count++;
    for (let index = count - 1; index >= 0; index--) this.#use(digests[index]!);
    return count;
  }

  /** Holds all blocks of a prompt; returns those that are new. */
  store(digests: readonly Digest[]): Digest[] {
    const added = digests.filter((digest) => !this.#blocks.has(digest));
    for (let index = digests.length - 1; index >= 0; index--) {
      this.#use(digests[index]!);
    }
    return added;
  }

  /** Drops blocks until at most `bound` are left; returns the dropped ones. */
  evictTo(bound: number): Digest[] {
    const evicted: Digest[] = [];
    for (const digest of this.#blocks) {
      if (this.#blocks.size <= bound) break;
      this.#blocks.delete(digest);
      evicted.push(digest);
    }
    return evicted;
  }

  clear(): void {
    this.#blocks.clear();
  }

  #use(digest: Digest): void {
    this.#blocks.delete(digest);
    this.#blocks.add(digest);
  }
}
