import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import { BYTES_PER_TOKEN, PREFIX_BLOCK_BYTES } from "@wasabivane/common";
import type { CacheEvent } from "./types.ts";

/** Names an upstream that has leading blocks of a prompt in its cache. */
export interface CacheHolder {
  readonly upstream: UpstreamId;
  readonly blocks: number;
}

/** Options of a {@link PrefixCacheIndex}. */
export interface PrefixCacheIndexOptions {
  /** Limit on cached blocks, summed over all upstreams. */
  readonly maximumBlocks?: number;
}

/** Counts the prompt tokens in one cached block. */
export const TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN;

const DEFAULT_MAXIMUM_BLOCKS = 400_000;
/**
 * Lifetime of entries older than an event gap, which may hide an eviction: about
 * the time in which a busy engine replaces its cache.
 */
const UNCERTAIN_ENTRY_TTL_MS = 30_000;
const ENTRY_TTL_MS = 300_000;
/** Minimum age at which an entry is renewed. */
const MINIMUM_RENEWAL_AGE_MS = 5_000;
/** Maximum holders returned by a search. */
const MAXIMUM_HOLDERS_RETURNED = 8;
/** Maximum holders stored for one block; the oldest is evicted first. */
const MAXIMUM_HOLDERS_PER_BLOCK = 32;

interface CacheEntry {
  readonly storedAt: Milliseconds;
  readonly epoch: number;
}

interface EventState {
  sequence: number;
  /** Incremented when the cache is cleared, to invalidate older entries. */
  epoch: number;
  lastGapAt: Milliseconds;
}

/**
 * Tracks which upstream has which prompt blocks cached, based on its cache
 * events, which may be late or missing, and on the prompts sent to it. A wrong
 * entry only costs an additional prefill. Blocks are chained: a holder of a
 * block also holds all earlier ones, so that a binary search finds the longest
 * match.
 */
export class PrefixCacheIndex {
  readonly #maximumBlocks: number;
  readonly #holders = new Map<Digest, Map<UpstreamId, CacheEntry>>();
  readonly #eventStates = new Map<UpstreamId, EventState>();
  #entryCount = 0;

  constructor(
    { maximumBlocks = DEFAULT_MAXIMUM_BLOCKS }: PrefixCacheIndexOptions = {},
  ) {
    this.#maximumBlocks = maximumBlocks;
  }

  /** Records that an upstream has these blocks cached. */
  recordStored(
    upstream: UpstreamId,
    digests: readonly Digest[],
    now: Milliseconds,
  ): void {
    const last = digests.at(-1);
    if (last === undefined || this.#isRecent(last, upstream, now)) return;
    const { epoch } = this.#eventStateOf(upstream);
    for (const digest of digests) this.#store(digest, upstream, now, epoch);
    this.#evictOldest();
  }

  /** Applies a cache event of an upstream; outdated events are ignored. */
  applyEvent(event: CacheEvent, now: Milliseconds): void {
    const eventState = this.#eventStateOf(event.upstream);
    if (event.sequence <= eventState.sequence) return;
    if (eventState.sequence > 0 && event.sequence > eventState.sequence + 1) {
      eventState.lastGapAt = now;
    }
    eventState.sequence = event.sequence;
    switch (event.kind) {
      case "stored":
        return this.recordStored(event.upstream, event.digests, now);
      case "evicted":
        return event.digests.forEach((digest) =>
          this.#delete(digest, event.upstream)
        );
      case "cleared":
        eventState.epoch++;
    }
  }

  /** Invalidates all entries of an upstream, such as after a crash. */
  clear(upstream: UpstreamId): void {
    const eventState = this.#eventStateOf(upstream);
    eventState.epoch++;
  }

  /** Returns how many leading blocks an upstream has cached. */
  cachedBlocks(
    upstream: UpstreamId,
    digests: readonly Digest[],
    now: Milliseconds,
  ): number {
    return longestMatch(digests, (digest) => this.#has(digest, upstream, now));
  }

  /** Returns upstreams that hold leading blocks, the longest match first. */
  holders(digests: readonly Digest[], now: Milliseconds): CacheHolder[] {
    if (digests.length === 0 || !this.#holders.has(digests[0]!)) return [];
    const found: CacheHolder[] = [];
    const seen = new Set<UpstreamId>();
    let blocks = longestMatch(digests, (digest) => this.#holders.has(digest));
    // `blocks` is halved in each step, so the match found for a holder is a
    // lower bound of its longest match.
    while (blocks > 0 && found.length < MAXIMUM_HOLDERS_RETURNED) {
      const digest = digests[blocks - 1]!;
      for (const upstream of this.#holders.get(digest)!.keys()) {
        if (found.length >= MAXIMUM_HOLDERS_RETURNED) break;
        if (seen.has(upstream)) continue;
        seen.add(upstream);
        if (this.#has(digest, upstream, now)) found.push({ upstream, blocks });
      }
      blocks >>= 1;
    }
    return found;
  }

  /** Returns whether the entry is too recent to be renewed. */
  #isRecent(digest: Digest, upstream: UpstreamId, now: Milliseconds): boolean {
    const entry = this.#holders.get(digest)?.get(upstream);
    return entry !== undefined &&
      now - entry.storedAt < MINIMUM_RENEWAL_AGE_MS &&
      entry.epoch === this.#eventStateOf(upstream).epoch;
  }

  #has(digest: Digest, upstream: UpstreamId, now: Milliseconds): boolean {
    const entry = this.#holders.get(digest)?.get(upstream);
    if (entry === undefined) return false;
    const { epoch, lastGapAt } = this.#eventStateOf(upstream);
    if (entry.epoch !== epoch) return false;
    const age = now - entry.storedAt;
    return age <
      (entry.storedAt < lastGapAt ? UNCERTAIN_ENTRY_TTL_MS : ENTRY_TTL_MS);
  }

  #store(
    digest: Digest,
    upstream: UpstreamId,
    storedAt: Milliseconds,
    epoch: number,
  ): void {
    const holders = this.#holders.get(digest) ??
      new Map<UpstreamId, CacheEntry>();
    this.#holders.delete(digest);
    this.#holders.set(digest, holders);
    if (!holders.delete(upstream)) this.#entryCount++;
    holders.set(upstream, { storedAt, epoch });
    if (holders.size <= MAXIMUM_HOLDERS_PER_BLOCK) return;
    holders.delete(holders.keys().next().value!);
    this.#entryCount--;
  }

  #delete(digest: Digest, upstream: UpstreamId): void {
    const holders = this.#holders.get(digest);
    if (holders?.delete(upstream) !== true) return;
    this.#entryCount--;
    if (holders.size === 0) this.#holders.delete(digest);
  }

  #evictOldest(): void {
    for (const [digest, holders] of this.#holders) {
      if (this.#entryCount <= this.#maximumBlocks) return;
      this.#holders.delete(digest);
      this.#entryCount -= holders.size;
    }
  }

  #eventStateOf(upstream: UpstreamId): EventState {
    const existing = this.#eventStates.get(upstream);
    if (existing !== undefined) return existing;
    const created = { sequence: 0, epoch: 0, lastGapAt: -Infinity };
    this.#eventStates.set(upstream, created);
    return created;
  }
}

function longestMatch(
  digests: readonly Digest[],
  isCached: (digest: Digest) => boolean,
): number {
  let low = 0;
  let high = digests.length;
  while (low < high) {
    const middle = (low + high + 1) >> 1;
    if (isCached(digests[middle - 1]!)) low = middle;
    else high = middle - 1;
  }
  return low;
}
