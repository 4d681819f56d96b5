import type {
  FailureDomain,
  Milliseconds,
  ServiceId,
  UpstreamId,
} from "@wasabivane/common";
import type { Upstream } from "./types.ts";

/** Upstreams remembered, a day's releases of a large fleet among them. */
const MAXIMUM_SEEN = 2_000;
const NONE: readonly Upstream[] = [];

interface Entry {
  upstream: Upstream;
  /** Until when an entry that vanished is kept; `undefined` while the store holds it. */
  keptUntil?: Milliseconds;
}

/** An upstream whose entry lapsed and that is used for a while yet. */
export interface LapsedUpstream {
  readonly name: string;
  /** Time after which it is gone unless it was listed again. */
  readonly left: Milliseconds;
}

/**
 * The upstreams that may get work. A life of an upstream that announced its leaving
 * stays left for this process, whatever an older reading says later: a stale page
 * would otherwise bring back an upstream that stops any moment. For the same reason
 * an older life never takes the place of a younger one of its name.
 *
 * Upstreams of an evacuated failure domain stay listed and get no work until the
 * evacuation is taken back.
 */
export class UpstreamDirectory {
  readonly #entries = new Map<UpstreamId, Entry>();
  readonly #left = new Set<UpstreamId>();
  /** The youngest life of each name that was listed. */
  readonly #lives = new Map<string, Upstream>();
  readonly #byService = new Map<ServiceId, Upstream[]>();
  #evacuated: ReadonlySet<FailureDomain> = new Set();
  /** Services whose upstreams are all in evacuated failure domains. */
  readonly #evacuatedServices = new Set<ServiceId>();
  /** All that were listed, for the work that those who left still do. */
  readonly #seen = new Map<UpstreamId, Upstream>();
  #version = 0;

  /**
   * Takes what the store says of one upstream; gives back the former life of its
   * name, which is over, if that could get work until now.
   */
  set(upstream: Upstream): Upstream | undefined {
    const former = this.#lives.get(upstream.name);
    if (former !== undefined && former.bornAt > upstream.bornAt) {
      return undefined;
    }
    this.#lives.set(upstream.name, upstream);
    this.#remember(upstream);
    const known = this.#entries.get(upstream.upstream);
    const isSame = known !== undefined && known.keptUntil === undefined &&
      !this.#left.has(upstream.upstream) && isAlike(known.upstream, upstream);
    if (isSame) {
      known.upstream = upstream;
      return undefined;
    }
    if (upstream.isLeaving) this.#left.add(upstream.upstream);
    if (this.#left.has(upstream.upstream)) {
      this.#entries.delete(upstream.upstream);
    } else {
      this.#entries.set(upstream.upstream, { upstream });
    }
    const isOver = former !== undefined &&
      former.upstream !== upstream.upstream &&
      this.#entries.delete(former.upstream);
    this.#rebuild();
    return isOver ? former : undefined;
  }

  /**
   * The store holds the upstream no more; true when it was known and is gone now.
   * After an outage of the store that may mean that its lease ran out unheard: with
   * `keepUntil` it is used until then, and gone unless it was listed again.
   */
  remove(upstream: UpstreamId, keepUntil?: Milliseconds): boolean {
    const entry = this.#entries.get(upstream);
    if (entry === undefined) return false;
    if (keepUntil !== undefined) {
      entry.keptUntil ??= keepUntil;
      return false;
    }
    this.#entries.delete(upstream);
    this.#rebuild();
    return true;
  }

  /** The upstream announced its leaving; `true` when that was news. */
  markLeaving(upstream: UpstreamId): boolean {
    if (this.#left.has(upstream)) return false;
    this.#left.add(upstream);
    this.#entries.delete(upstream);
    this.#rebuild();
    return true;
  }

  /** The failure domains whose upstreams get no work. */
  get evacuated(): ReadonlySet<FailureDomain> {
    return this.#evacuated;
  }

  /** Replaces the failure domains whose upstreams get no work; true when they differ. */
  evacuate(domains: ReadonlySet<FailureDomain>): boolean {
    const isSame = domains.size === this.#evacuated.size &&
      [...domains].every((domain) => this.#evacuated.has(domain));
    if (isSame) return false;
    this.#evacuated = new Set(domains);
    this.#rebuild();
    return true;
  }

  /** Whether all upstreams of a service are in evacuated failure domains. */
  isEvacuated(service: ServiceId): boolean {
    return this.#evacuatedServices.has(service);
  }

  /** The listed life of the upstream that the platform calls so. */
  findByName(name: string): Upstream | undefined {
    const life = this.#lives.get(name);
    return life === undefined ? undefined : this.findListed(life.upstream);
  }

  /** Makes the directory equal to a full reading of the store; gives back who is gone. */
  replaceAll(
    upstreams: readonly Upstream[],
    keepUntil?: Milliseconds,
  ): Upstream[] {
    const found = new Set(upstreams.map(({ name }) => name));
    const gone = this.all().filter(({ name, upstream }) =>
      !found.has(name) && this.remove(upstream, keepUntil)
    );
    for (const upstream of upstreams) {
      const former = this.set(upstream);
      if (former !== undefined) gone.push(former);
    }
    return gone;
  }

  /** Drops kept entries that did not come back; gives them back. */
  expireLapsed(now: Milliseconds): Upstream[] {
    const gone: Upstream[] = [];
    for (const { upstream, keptUntil } of this.#entries.values()) {
      if (keptUntil !== undefined && keptUntil <= now) gone.push(upstream);
    }
    for (const { upstream } of gone) this.remove(upstream);
    return gone;
  }

  /** Upstreams of a service that may get work; the same list until something changes. */
  of(service: ServiceId): readonly Upstream[] {
    return this.#byService.get(service) ?? NONE;
  }

  /** An upstream that may get work. */
  get(upstream: UpstreamId): Upstream | undefined {
    const listed = this.findListed(upstream);
    if (listed === undefined) return undefined;
    return this.#evacuated.has(listed.failureDomain) ? undefined : listed;
  }

  /** An upstream that is listed, in an evacuated failure domain or not. */
  findListed(upstream: UpstreamId): Upstream | undefined {
    return this.#entries.get(upstream)?.upstream;
  }

  /** Every upstream that is listed. */
  all(): Upstream[] {
    return [...this.#entries.values()].map(({ upstream }) => upstream);
  }

  /** Those whose entries lapsed, for peers that do not read the store. */
  lapsed(now: Milliseconds): LapsedUpstream[] {
    const kept: LapsedUpstream[] = [];
    for (const { upstream: { name }, keptUntil } of this.#entries.values()) {
      if (keptUntil !== undefined) kept.push({ name, left: keptUntil - now });
    }
    return kept;
  }

  /** Grows with each change of what may get work. */
  get version(): number {
    return this.#version;
  }

  /** An upstream, also one that may get no work any more. */
  lastKnown(upstream: UpstreamId): Upstream | undefined {
    return this.#seen.get(upstream);
  }

  get size(): number {
    return this.#entries.size;
  }

  services(): Iterable<ServiceId> {
    return this.#byService.keys();
  }

  #remember(upstream: Upstream): void {
    this.#seen.set(upstream.upstream, upstream);
    if (this.#seen.size <= MAXIMUM_SEEN) return;
    for (const id of this.#seen.keys()) {
      if (this.#entries.has(id)) continue;
      this.#seen.delete(id);
      return;
    }
  }

  #rebuild(): void {
    this.#version++;
    this.#byService.clear();
    this.#evacuatedServices.clear();
    for (const { upstream } of this.#entries.values()) {
      const { service, failureDomain } = upstream;
      if (this.#evacuated.has(failureDomain)) {
        this.#evacuatedServices.add(service);
        continue;
      }
      const list = this.#byService.get(service) ?? [];
      list.push(upstream);
      this.#byService.set(service, list);
    }
    for (const service of this.#byService.keys()) {
      this.#evacuatedServices.delete(service);
    }
  }
}

/** Whether two entries of one life differ in nothing that decides about its work. */
function isAlike(left: Upstream, right: Upstream): boolean {
  return left.bornAt === right.bornAt && left.service === right.service &&
    left.address === right.address && left.slots === right.slots &&
    left.failureDomain === right.failureDomain &&
    left.isLeaving === right.isLeaving;
}
