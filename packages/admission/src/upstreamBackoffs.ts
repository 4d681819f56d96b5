import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { Upstream } from "./types.ts";

/** Recorded upstreams from which ended backoffs are dropped. */
const REVIEWED_SIZE = 64;

/** An upstream and the time until which a host sends it nothing. */
export type UpstreamBackoff = readonly [
  upstream: UpstreamId,
  until: Milliseconds,
];

/**
 * Upstreams that one host backs off from, as they asked for when they turned a
 * request of it away. Other hosts may still use them.
 */
export class UpstreamBackoffs {
  readonly #until = new Map<UpstreamId, Milliseconds>();

  /** Records a backoff; one that ends earlier does not shorten a known one. */
  record([upstream, until]: UpstreamBackoff, now: Milliseconds): void {
    if (this.#until.size >= REVIEWED_SIZE) this.#dropEnded(now);
    this.#until.set(upstream, Math.max(until, this.untilOf(upstream)));
  }

  /** Replaces all backoffs by those that the host reports. */
  replaceAll(backoffs: readonly UpstreamBackoff[]): void {
    this.#until.clear();
    for (const [upstream, until] of backoffs) {
      this.#until.set(upstream, Math.max(until, this.untilOf(upstream)));
    }
  }

  has(upstream: UpstreamId, now: Milliseconds): boolean {
    return this.untilOf(upstream) > now;
  }

  /** Returns when a backoff ends or ended; 0 if there was none. */
  untilOf(upstream: UpstreamId): Milliseconds {
    return this.#until.get(upstream) ?? 0;
  }

  /** Whether the host backs off from all of the upstreams. */
  coverAll(upstreams: readonly Upstream[], now: Milliseconds): boolean {
    if (this.#until.size < upstreams.length) return false;
    return upstreams.every(({ upstream }) => this.has(upstream, now));
  }

  /**
   * Returns when the first of the backoffs from these upstreams ends;
   * `undefined` if one of them may be used now or there is none.
   */
  firstEnd(
    upstreams: readonly Upstream[],
    now: Milliseconds,
  ): Milliseconds | undefined {
    const isCovered = upstreams.length > 0 && this.coverAll(upstreams, now);
    if (!isCovered) return undefined;
    return Math.min(...upstreams.map(({ upstream }) => this.untilOf(upstream)));
  }

  /** Returns the backoffs that have not ended. */
  active(now: Milliseconds): UpstreamBackoff[] {
    return [...this.#until].filter(([, until]) => until > now);
  }

  #dropEnded(now: Milliseconds): void {
    for (const [upstream, until] of this.#until) {
      if (until <= now) this.#until.delete(upstream);
    }
  }
}
