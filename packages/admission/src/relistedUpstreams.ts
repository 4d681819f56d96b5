import type { Milliseconds } from "@wasabivane/common";
import type { Upstream } from "./types.ts";

/** An entry that a copy of the store has brought back. */
interface Relisted {
  readonly upstream: Upstream;
  readonly ignoredUntil: Milliseconds;
}

/**
 * Upstreams that were removed and that a copy of the store lists again. They are
 * probably gone, and are not used until their entry changes, or for as long as
 * the store keeps the entry of an upstream that is gone.
 */
export class RelistedUpstreams {
  readonly #byName = new Map<string, Relisted>();

  /** Whether this incarnation of an upstream is ignored. */
  has({ name, upstream }: Upstream): boolean {
    return this.#byName.get(name)?.upstream.upstream === upstream;
  }

  /** Whether an upstream with this name is ignored. */
  hasName(name: string): boolean {
    return this.#byName.has(name);
  }

  add(upstream: Upstream, ignoredUntil: Milliseconds): void {
    this.#byName.set(upstream.name, { upstream, ignoredUntil });
  }

  delete(name: string): void {
    this.#byName.delete(name);
  }

  /** Drops the upstreams that are no longer listed. */
  deleteUnlisted(listedNames: ReadonlySet<string>): void {
    for (const name of this.#byName.keys()) {
      if (!listedNames.has(name)) this.#byName.delete(name);
    }
  }

  /** Removes and returns those that are no longer ignored. */
  takeExpired(now: Milliseconds): Upstream[] {
    const expired = [...this.#byName.values()]
      .filter(({ ignoredUntil }) => ignoredUntil <= now)
      .map(({ upstream }) => upstream);
    for (const { name } of expired) this.#byName.delete(name);
    return expired;
  }
}
