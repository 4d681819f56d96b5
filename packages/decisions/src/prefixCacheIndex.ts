import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import { BYTES_PER_TOKEN, PREFIX_BLOCK_BYTES } from "@wasabivane/common";
import type { CacheEvent } from "./types.ts";

/** An upstream that holds leading blocks of a prompt. */
export interface CacheHolder {
  readonly upstream: UpstreamId;
  readonly blocks: number;
}

/** Options of a {@link PrefixCacheIndex}. */
export interface PrefixCacheIndexOptions {
  /** Bound on remembered blocks over all upstreams. */
  readonly maximumBlocks?: number;
}

/** Prompt tokens in one cached block. */
export const TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN;

const DEFAULT_MAXIMUM_BLOCKS = 400_000;
/** After a gap, an eviction may have been missed: older entries count so long. */
const DOUBTED_ENTRY_MS = 30_000;
/** An entry that nothing confirmed counts so long. */
const ENTRY_MS = 300_000;
/** An entry younger than this is not renewed. */
const FRESH_ENTRY_MS = 5_000;
/** More holders than these add no choice to one decision. */
const MAXIMUM_HOLDERS = 8;
/** More holders of one block are not remembered; the oldest is forgotten first. */
const MAXIMUM_HOLDERS_KEPT = 32;

interface Entry {
  readonly storedAt: Milliseconds;
  readonly epoch: number;
}

interface UpstreamEvents {
  sequence: number;
  epoch: number;
  gapAt: Milliseconds;
}

/**
 * Answers the load pattern of prompts that share prefixes: which upstream holds
 * which blocks, from its late and gapped cache events and from our own
 * dispatches, which are known at once. A wrong entry costs a prefill, never an
 * answer. Without it, a shared prefix is computed at every upstream again.
 *
 * Grounds: blocks are chained, so a holder of a later block holds the earlier
 * ones, and a binary search finds the longest match in eight look-ups. A missed
 * eviction is possible only after a gap; 30 s is about the time in which a busy
 * engine turns its cache over.
 */
export class PrefixCacheIndex {
  readonly #maximumBlocks: number;
  readonly #holders = new Map<Digest, Map<UpstreamId, Entry>>();
  readonly #events = new Map<UpstreamId, UpstreamEvents>();
  #entries = 0;

  constructor(
    { maximumBlocks = DEFAULT_MAXIMUM_BLOCKS }: PrefixCacheIndexOptions = {},
  ) {
    this.#maximumBlocks = maximumBlocks;
  }

  /** Blocks that a dispatched prompt has left at its upstream. */
  recordStored(
    upstream: UpstreamId,
    digests: readonly Digest[],
    now: Milliseconds,
  ): void {
    const last = digests.at(-1);
    if (last === undefined || this.#isFresh(last, upstream, now)) return;
    const { epoch } = this.#eventsOf(upstream);
    for (const digest of digests) this.#store(digest, upstream, now, epoch);
    this.#forgetOldest();
  }

  /** Takes in an event of the upstream itself. */
  applyEvent(event: CacheEvent, now: Milliseconds): void {
    const known = this.#eventsOf(event.upstream);
    if (event.sequence <= known.sequence) return;
    if (known.sequence > 0 && event.sequence > known.sequence + 1) {
      known.gapAt = now;
    }
    known.sequence = event.sequence;
    switch (event.kind) {
      case "stored":
        return this.recordStored(event.upstream, event.digests, now);
      case "evicted":
        return event.digests.forEach((digest) =>
          this.#drop(digest, event.upstream)
        );
      case "cleared":
        known.epoch++;
    }
  }

  /** The upstream lost its cache, as after a crash. */
  clear(upstream: UpstreamId): void {
    const known = this.#eventsOf(upstream);
    known.epoch++;
  }

  /** How many leading blocks an upstream holds. */
  cachedBlocks(
    upstream: UpstreamId,
    digests: readonly Digest[],
    now: Milliseconds,
  ): number {
    return longestMatch(digests, (digest) => this.#has(digest, upstream, now));
  }

  /** Upstreams that hold leading blocks, the longest match first. */
  holders(digests: readonly Digest[], now: Milliseconds): CacheHolder[] {
    if (digests.length === 0 || !this.#holders.has(digests[0]!)) return [];
    const found: CacheHolder[] = [];
    const seen = new Set<UpstreamId>();
    let blocks = longestMatch(digests, (digest) => this.#holders.has(digest));
    // A holder of a later block holds the earlier ones, so that the first level
    // at which it is met is a lower bound of what it holds.
    while (blocks > 0 && found.length < MAXIMUM_HOLDERS) {
      const digest = digests[blocks - 1]!;
      for (const upstream of this.#holders.get(digest)!.keys()) {
        if (found.length >= MAXIMUM_HOLDERS) break;
        if (seen.has(upstream)) continue;
        seen.add(upstream);
        if (this.#has(digest, upstream, now)) found.push({ upstream, blocks });
      }
      blocks >>= 1;
    }
    return found;
  }

  /** Whether a block was stored so lately that storing it again says nothing new. */
  #isFresh(digest: Digest, upstream: UpstreamId, now: Milliseconds): boolean {
    const entry = this.#holders.get(digest)?.get(upstream);
    return entry !== undefined && now - entry.storedAt < FRESH_ENTRY_MS &&
      entry.epoch === this.#eventsOf(upstream).epoch;
  }

  #has(digest: Digest, upstream: UpstreamId, now: Milliseconds): boolean {
    const entry = this.#holders.get(digest)?.get(upstream);
    if (entry === undefined) return false;
    const { epoch, gapAt } = this.#eventsOf(upstream);
    if (entry.epoch !== epoch) return false;
    const age = now - entry.storedAt;
    return age < (entry.storedAt < gapAt ? DOUBTED_ENTRY_MS : ENTRY_MS);
  }

  #store(
    digest: Digest,
    upstream: UpstreamId,
    storedAt: Milliseconds,
    epoch: number,
  ): void {
    const holders = this.#holders.get(digest) ?? new Map<UpstreamId, Entry>();
    this.#holders.delete(digest);
    this.#holders.set(digest, holders);
    if (!holders.delete(upstream)) this.#entries++;
    holders.set(upstream, { storedAt, epoch });
    if (holders.size <= MAXIMUM_HOLDERS_KEPT) return;
    holders.delete(holders.keys().next().value!);
    this.#entries--;
  }

  #drop(digest: Digest, upstream: UpstreamId): void {
    const holders = this.#holders.get(digest);
    if (holders?.delete(upstream) !== true) return;
    this.#entries--;
    if (holders.size === 0) this.#holders.delete(digest);
  }

  #forgetOldest(): void {
    for (const [digest, holders] of this.#holders) {
      if (this.#entries <= this.#maximumBlocks) return;
      this.#holders.delete(digest);
      this.#entries -= holders.size;
    }
  }

  #eventsOf(upstream: UpstreamId): UpstreamEvents {
    const known = this.#events.get(upstream);
    if (known !== undefined) return known;
    const added = { sequence: 0, epoch: 0, gapAt: -Infinity };
    this.#events.set(upstream, added);
    return added;
  }
}

function longestMatch(
  digests: readonly Digest[],
  isHeld: (digest: Digest) => boolean,
): number {
  let low = 0;
  let high = digests.length;
  while (low < high) {
    const middle = (low + high + 1) >> 1;
    if (isHeld(digests[middle - 1]!)) low = middle;
    else high = middle - 1;
  }
  return low;
}
