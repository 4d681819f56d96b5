import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { Upstream } from "./types.ts";

/** Recorded upstreams from which ended rests are dropped. */
const REVIEWED_SIZE = 64;

/** An upstream and the time until which it wants nothing from a host. */
export type UpstreamRest = readonly [
  upstream: UpstreamId,
  until: Milliseconds,
];

/**
 * Upstreams that turned a request of one host away and want nothing from that
 * host for a time. Other hosts may still use them.
 */
export class UpstreamRests {
  readonly #until = new Map<UpstreamId, Milliseconds>();

  /** Records a rest; one that ends earlier does not shorten a known one. */
  record([upstream, until]: UpstreamRest, now: Milliseconds): void {
    if (this.#until.size >= REVIEWED_SIZE) this.#dropEnded(now);
    this.#until.set(upstream, Math.max(until, this.untilOf(upstream)));
  }

  /** Replaces all rests by those that the host reports. */
  replaceAll(rests: readonly UpstreamRest[]): void {
    this.#until.clear();
    for (const [upstream, until] of rests) this.#until.set(upstream, until);
  }

  isResting(upstream: UpstreamId, now: Milliseconds): boolean {
    return this.untilOf(upstream) > now;
  }

  /** Returns when the rest of an upstream ends or ended; 0 if it had none. */
  untilOf(upstream: UpstreamId): Milliseconds {
    return this.#until.get(upstream) ?? 0;
  }

  /** Whether all of the upstreams are resting. */
  coverAll(upstreams: readonly Upstream[], now: Milliseconds): boolean {
    if (this.#until.size < upstreams.length) return false;
    return upstreams.every(({ upstream }) => this.isResting(upstream, now));
  }

  /** Returns the rests that have not ended. */
  active(now: Milliseconds): UpstreamRest[] {
    return [...this.#until].filter(([, until]) => until > now);
  }

  #dropEnded(now: Milliseconds): void {
    for (const [upstream, until] of this.#until) {
      if (until <= now) this.#until.delete(upstream);
    }
  }
}
