import type { Milliseconds, UpstreamId } from "@wasabivane/common";

/**
 * Time after a response that names a limit in which one without it does not end
 * it, as responses on different connections overtake each other.
 */
const REORDERING_MS: Milliseconds = 1_000;

interface NamedLimit {
  readonly startsPerSecond: number;
  /** Time of the last response that named it. */
  readonly namedAt: Milliseconds;
}

/**
 * Tracks the requests per second that upstreams in need take from all hosts
 * together. A limit holds until a response no longer names it.
 */
export class UpstreamRateLimits {
  readonly #limits = new Map<UpstreamId, NamedLimit>();

  /** Records a response; `undefined` if it names no limit. */
  record(
    upstream: UpstreamId,
    startsPerSecond: number | undefined,
    now: Milliseconds,
  ): void {
    if (startsPerSecond !== undefined) {
      this.#limits.set(upstream, { startsPerSecond, namedAt: now });
      return;
    }
    const known = this.#limits.get(upstream);
    if (known === undefined || now - known.namedAt < REORDERING_MS) return;
    this.#limits.delete(upstream);
  }

  /** Returns the limit of an upstream; `undefined` if it has named none. */
  of(upstream: UpstreamId): number | undefined {
    return this.#limits.get(upstream)?.startsPerSecond;
  }

  /** Returns the upstreams that have named a limit. */
  upstreams(): UpstreamId[] {
    return [...this.#limits.keys()];
  }

  forget(upstream: UpstreamId): void {
    this.#limits.delete(upstream);
  }
}
