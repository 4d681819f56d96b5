import type { Milliseconds, ServiceId, UpstreamId } from "@wasabivane/common";
import type { Upstream } from "./types.ts";

/**
 * How long an entry that vanished while the store was in trouble is still used
 * after the store is back. Entries of live upstreams that lapsed meanwhile are
 * written again within about two seconds; one that does not come back is gone,
 * and must get no work two seconds after the store said so.
 */
const LAPSED_GRACE_MS: Milliseconds = 1_500;

interface Entry {
  upstream: Upstream;
  /** When the entry vanished; `undefined` while the store holds it. */
  lapsedAt?: Milliseconds;
}

/**
 * The upstreams that may get work. An upstream that announced its leaving stays
 * left for this process, whatever an older reading says later: a stale page
 * would otherwise bring back an upstream that stops any moment.
 */
export class UpstreamDirectory {
  readonly #entries = new Map<UpstreamId, Entry>();
  readonly #left = new Set<UpstreamId>();
  readonly #byService = new Map<ServiceId, Upstream[]>();

  /** Takes what the store says of one upstream. */
  set(upstream: Upstream): void {
    if (upstream.isLeaving) this.#left.add(upstream.upstream);
    if (this.#left.has(upstream.upstream)) {
      this.#entries.delete(upstream.upstream);
    } else {
      this.#entries.set(upstream.upstream, { upstream });
    }
    this.#rebuild();
  }

  /**
   * The store holds the upstream no more. With a store that was in trouble just
   * now that may mean that its lease ran out unheard.
   */
  remove(
    upstream: UpstreamId,
    { now, isStoreSuspect }: { now: Milliseconds; isStoreSuspect: boolean },
  ): void {
    const entry = this.#entries.get(upstream);
    if (entry === undefined) return;
    if (isStoreSuspect) entry.lapsedAt ??= now;
    else this.#entries.delete(upstream);
    this.#rebuild();
  }

  /** The upstream announced its leaving; `true` when that was news. */
  leave(upstream: UpstreamId): boolean {
    if (this.#left.has(upstream)) return false;
    this.#left.add(upstream);
    this.#entries.delete(upstream);
    this.#rebuild();
    return true;
  }

  /** Makes the directory equal to a full reading of the store. */
  replaceAll(
    upstreams: readonly Upstream[],
    options: { now: Milliseconds; isStoreSuspect: boolean },
  ): void {
    const listed = new Set(upstreams.map(({ upstream }) => upstream));
    for (const upstream of [...this.#entries.keys()]) {
      if (!listed.has(upstream)) this.remove(upstream, options);
    }
    for (const upstream of upstreams) this.set(upstream);
  }

  /** Ends the grace of entries that did not come back; true when one ended. */
  expire(now: Milliseconds): boolean {
    let isChanged = false;
    for (const [upstream, { lapsedAt }] of this.#entries) {
      if (lapsedAt === undefined || now - lapsedAt < LAPSED_GRACE_MS) continue;
      this.#entries.delete(upstream);
      isChanged = true;
    }
    if (isChanged) this.#rebuild();
    return isChanged;
  }

  /** Upstreams of a service that may get work. */
  of(service: ServiceId): readonly Upstream[] {
    return this.#byService.get(service) ?? [];
  }

  get(upstream: UpstreamId): Upstream | undefined {
    return this.#entries.get(upstream)?.upstream;
  }

  /** Every upstream that may get work. */
  all(): Upstream[] {
    return [...this.#entries.values()].map(({ upstream }) => upstream);
  }

  get size(): number {
    return this.#entries.size;
  }

  services(): Iterable<ServiceId> {
    return this.#byService.keys();
  }

  #rebuild(): void {
    this.#byService.clear();
    for (const { upstream } of this.#entries.values()) {
      const list = this.#byService.get(upstream.service) ?? [];
      list.push(upstream);
      this.#byService.set(upstream.service, list);
    }
  }
}
