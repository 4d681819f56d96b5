import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { PromptPart } from "./types.ts";

/**
 * Parts not used for this time are assumed to be evicted from the upstream's
 * cache.
 */
const RETENTION_MS: Milliseconds = 20_000;
/** Parts tracked per upstream at most. */
const MAXIMUM_PARTS = 512;
/** Upstreams tracked at most; those unused for longest are dropped first. */
const MAXIMUM_UPSTREAMS = 256;
const NO_UPSTREAMS: ReadonlySet<UpstreamId> = new Set();

/**
 * Tracks which prompt parts each upstream has probably cached, by the requests
 * that were placed there.
 *
 * Many prompts share a prefix, by account or by session. Sending them to the
 * same upstreams saves processing the prefix again.
 */
export class PrefixCacheIndex {
  readonly #parts = new Map<UpstreamId, Map<string, Milliseconds>>();
  readonly #upstreamsByPart = new Map<string, Set<UpstreamId>>();

  /** Records that a prompt goes to an upstream. */
  recordPrompt(
    upstream: UpstreamId,
    parts: readonly PromptPart[],
    now: Milliseconds,
  ): void {
    if (parts.length === 0) return;
    const cachedParts = this.#partsOf(upstream);
    for (const { part } of parts) {
      cachedParts.delete(part);
      cachedParts.set(part, now);
      this.#addUpstream(part, upstream);
    }
    for (const oldest of cachedParts.keys()) {
      if (cachedParts.size <= MAXIMUM_PARTS) return;
      cachedParts.delete(oldest);
      this.#removeUpstream(oldest, upstream);
    }
  }

  /**
   * Returns the upstreams that have cached the longest prefix of the prompt
   * that any has.
   */
  upstreamsCaching(parts: readonly PromptPart[]): ReadonlySet<UpstreamId> {
    for (const { part } of parts.toReversed()) {
      const upstreams = this.#upstreamsByPart.get(part);
      if (upstreams !== undefined) return upstreams;
    }
    return NO_UPSTREAMS;
  }

  /**
   * Returns the tokens of the longest prefix of the prompt that the upstream
   * has probably cached.
   */
  cachedTokens(
    upstream: UpstreamId,
    parts: readonly PromptPart[],
    now: Milliseconds,
  ): number {
    const cachedParts = this.#parts.get(upstream);
    if (cachedParts === undefined) return 0;
    let tokens = 0;
    for (const { part, tokens: count } of parts) {
      const at = cachedParts.get(part);
      if (at === undefined || now - at > RETENTION_MS) return tokens;
      tokens += count;
    }
    return tokens;
  }

  #forget(upstream: UpstreamId): void {
    const cachedParts = this.#parts.get(upstream);
    this.#parts.delete(upstream);
    for (const part of cachedParts?.keys() ?? []) {
      this.#removeUpstream(part, upstream);
    }
  }

  /**
   * Returns the parts of an upstream and marks the upstream as most recently
   * used.
   */
  #partsOf(upstream: UpstreamId): Map<string, Milliseconds> {
    const cachedParts = this.#parts.get(upstream) ??
      new Map<string, Milliseconds>();
    this.#parts.delete(upstream);
    this.#parts.set(upstream, cachedParts);
    const [oldest] = this.#parts.keys();
    if (this.#parts.size > MAXIMUM_UPSTREAMS) this.#forget(oldest!);
    return cachedParts;
  }

  #addUpstream(part: string, upstream: UpstreamId): void {
    const upstreams = this.#upstreamsByPart.get(part) ?? new Set();
    upstreams.add(upstream);
    this.#upstreamsByPart.set(part, upstreams);
  }

  #removeUpstream(part: string, upstream: UpstreamId): void {
    const upstreams = this.#upstreamsByPart.get(part);
    upstreams?.delete(upstream);
    if (upstreams?.size === 0) this.#upstreamsByPart.delete(part);
  }
}
