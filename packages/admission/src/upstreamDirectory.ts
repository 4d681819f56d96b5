import type {
  FailureDomain,
  Milliseconds,
  ServiceId,
  UpstreamId,
} from "@wasabivane/common";
import { Evacuations } from "./evacuations.ts";
import { LeavingReports, type StoreListing } from "./leavingReports.ts";
import { RelistedUpstreams } from "./relistedUpstreams.ts";
import type { Upstream } from "./types.ts";

/** Upstreams remembered at most in each collection after they left. */
const MAXIMUM_REMEMBERED = 2_000;
const NO_UPSTREAMS: readonly Upstream[] = [];

interface Entry {
  upstream: Upstream;
  /**
   * Until when a removed entry is still used; `undefined` while the store lists
   * it.
   */
  keptUntil?: Milliseconds;
}

/** How {@link UpstreamDirectory.replaceAll} treats what may be outdated. */
export interface ReplacementOptions {
  /** Until when entries that are missing are used. */
  readonly keepUntil?: Milliseconds | undefined;
  /**
   * Until when entries that were removed before are not used, unless they change;
   * set for a list from a copy of the store, which may hold them still.
   */
  readonly ignoreRemovedUntil?: Milliseconds | undefined;
}

/** An upstream whose entry lapsed and which is still used for a while. */
export interface LapsedUpstream {
  readonly name: string;
  /** Remaining time until it is dropped unless it is listed again. */
  readonly left: Milliseconds;
}

/**
 * Directory of the upstreams that may receive requests.
 *
 * An incarnation that announced in the store that it leaves is never listed
 * again in this process, and an older incarnation never replaces a newer one of
 * the same name, so outdated store data cannot bring back an upstream. Upstreams
 * of an evacuated failure domain, and those that are reported to leave, stay
 * listed but receive no requests.
 */
export class UpstreamDirectory {
  readonly #entries = new Map<UpstreamId, Entry>();
  readonly #leaving = new Set<UpstreamId>();
  readonly #reports = new LeavingReports();
  /** The latest listed incarnation of each name. */
  readonly #incarnations = new Map<string, Upstream>();
  readonly #byService = new Map<ServiceId, Upstream[]>();
  readonly #relisted = new RelistedUpstreams();
  readonly #evacuations = new Evacuations();
  /** Services whose upstreams are all in evacuated failure domains. */
  readonly #evacuatedServices = new Set<ServiceId>();
  /**
   * All upstreams that were listed, for requests that still run at former ones.
   */
  readonly #remembered = new Map<UpstreamId, Upstream>();
  #gaps = 0;
  readonly #listeners: ((upstream: Upstream) => void)[] = [];
  #version = 0;
  /** Whether the lists of services are as the entries are. */
  #isIndexed = true;

  /** Number of times that upstreams may have come and gone unseen. */
  get gaps(): number {
    return this.#gaps;
  }

  /** Records that the store no longer lists a name. */
  recordRemoval(name: string): void {
    if (!this.#incarnations.has(name)) this.#gaps++;
  }

  /** Whether a name was listed before, or an entry of it is held back. */
  isKnown(name: string): boolean {
    return this.#incarnations.has(name) || this.isHeldBack(name);
  }

  /** Tells listeners of an entry that another one replaced before it was applied. */
  recordReplaced(upstream: Upstream): void {
    for (const listener of this.#listeners) listener(upstream);
  }

  /** Calls back with each entry that changes, also of upstreams that leave. */
  addListener(listener: (upstream: Upstream) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Applies an entry of the store; returns the previous incarnation of its name
   * if this replaces it.
   */
  set(upstream: Upstream): Upstream | undefined {
    const former = this.#incarnations.get(upstream.name);
    if (former !== undefined && former.bornAt > upstream.bornAt) {
      return undefined;
    }
    this.#incarnations.set(upstream.name, upstream);
    this.#relisted.delete(upstream.name);
    this.#remembered.set(upstream.upstream, upstream);
    const known = this.#entries.get(upstream.upstream);
    const isSame = known !== undefined && known.keptUntil === undefined &&
      !this.#leaving.has(upstream.upstream) &&
      isEquivalent(known.upstream, upstream);
    if (isSame) {
      known.upstream = upstream;
      return undefined;
    }
    for (const listener of this.#listeners) listener(upstream);
    if (upstream.isLeaving) {
      this.#leaving.add(upstream.upstream);
      this.#reports.delete(upstream.upstream);
    }
    if (this.#leaving.has(upstream.upstream)) {
      this.#entries.delete(upstream.upstream);
    } else {
      this.#entries.set(upstream.upstream, { upstream });
    }
    const isReplaced = former !== undefined &&
      former.upstream !== upstream.upstream &&
      this.#entries.delete(former.upstream);
    const formerCount = this.#remembered.size - this.#entries.size;
    if (formerCount > MAXIMUM_REMEMBERED) this.#dropOldest(this.#remembered);
    this.#recordChange();
    return isReplaced ? former : undefined;
  }

  /**
   * Removes an upstream that the store no longer lists; returns whether it was
   * removed now. After an outage of the store its lease may have lapsed by
   * mistake: with `keepUntil` it is used until then and dropped unless it is
   * listed again.
   */
  remove(upstream: UpstreamId, keepUntil?: Milliseconds): boolean {
    const entry = this.#entries.get(upstream);
    if (entry === undefined) return false;
    if (keepUntil !== undefined) {
      entry.keptUntil ??= keepUntil;
      return false;
    }
    this.#entries.delete(upstream);
    this.#recordChange();
    return true;
  }

  /**
   * Removes an upstream that announced that it leaves; returns whether that was
   * new.
   */
  markLeaving(upstream: UpstreamId): boolean {
    if (this.#leaving.has(upstream)) return false;
    this.#leaving.add(upstream);
    this.#reports.delete(upstream);
    this.#entries.delete(upstream);
    const isFull = this.#leaving.size > MAXIMUM_REMEMBERED;
    if (isFull) this.#dropOldest(this.#leaving);
    this.#recordChange();
    return true;
  }

  /**
   * Keeps requests from an upstream that a response or a peer reports to be
   * leaving; returns whether that was new.
   */
  reportLeaving(upstream: UpstreamId, now: Milliseconds): boolean {
    if (this.#leaving.has(upstream)) return false;
    const report = this.#reports.add(upstream, now);
    if (report === "final") return this.markLeaving(upstream);
    if (report === "first") this.#recordChange();
    return report === "first";
  }

  /**
   * Reinstates and returns the upstreams that the store lists as ready long
   * after they were reported to be leaving; `isCurrent` tells whether the list
   * is as in the store.
   */
  reinstate(
    { isCurrent, now }: { isCurrent: boolean; now: Milliseconds },
  ): UpstreamId[] {
    const reinstated = this.#reports.refute({
      listingOf: (upstream) => this.#listingOf(upstream),
      isCurrent,
      now,
    });
    if (reinstated.length > 0) this.#recordChange();
    return reinstated;
  }

  #listingOf(upstream: UpstreamId): StoreListing {
    const entry = this.#entries.get(upstream);
    if (entry === undefined) return "none";
    return entry.keptUntil === undefined ? "ready" : "lapsed";
  }

  /** Failure domains whose upstreams receive no requests. */
  get evacuated(): ReadonlySet<FailureDomain> {
    return this.#evacuations.domains;
  }

  /** The evacuated failure domains that the store lists. */
  get listedEvacuations(): ReadonlySet<FailureDomain> {
    return this.#evacuations.listed;
  }

  /**
   * Replaces the evacuated failure domains; returns whether they changed. With
   * `retainUntil`, those that are no longer listed stay evacuated until then, as
   * a copy of the store may lack them.
   */
  evacuate(
    domains: ReadonlySet<FailureDomain>,
    retainUntil?: Milliseconds,
  ): boolean {
    const isChanged = this.#evacuations.replace(domains, retainUntil);
    if (isChanged) this.#recordChange();
    return isChanged;
  }

  /** Whether all upstreams of a service are in evacuated failure domains. */
  isEvacuated(service: ServiceId): boolean {
    this.#index();
    return this.#evacuatedServices.has(service);
  }

  /** Returns the listed incarnation of the upstream with this name. */
  findByName(name: string): Upstream | undefined {
    const latest = this.#incarnations.get(name);
    return latest === undefined ? undefined : this.findListed(latest.upstream);
  }

  /**
   * Replaces all entries by a full listing of the store; returns the upstreams
   * that are gone.
   */
  replaceAll(
    upstreams: readonly Upstream[],
    { keepUntil, ignoreRemovedUntil }: ReplacementOptions = {},
  ): Upstream[] {
    const listedNames = new Set(upstreams.map(({ name }) => name));
    if (this.#incarnations.size > 0) this.#gaps++;
    const gone = this.all().filter(({ name, upstream }) =>
      !listedNames.has(name) && this.remove(upstream, keepUntil)
    );
    this.#relisted.deleteUnlisted(listedNames);
    for (const upstream of upstreams) {
      if (this.#shouldIgnore(upstream, ignoreRemovedUntil)) continue;
      const former = this.set(upstream);
      if (former !== undefined) gone.push(former);
    }
    return gone;
  }

  /** Whether an entry was removed before, and may be that of a copy. */
  #shouldIgnore(
    upstream: Upstream,
    ignoreRemovedUntil: Milliseconds | undefined,
  ): boolean {
    if (this.#relisted.has(upstream)) return true;
    const { upstream: id } = upstream;
    const wasRemoved = this.#remembered.has(id) && !this.#entries.has(id) &&
      !this.#leaving.has(id);
    if (!wasRemoved || ignoreRemovedUntil === undefined) return false;
    this.#relisted.add(upstream, ignoreRemovedUntil);
    return true;
  }

  /** Whether a copy of the store lists an upstream that is not used for now. */
  isHeldBack(name: string): boolean {
    return this.#relisted.hasName(name);
  }

  /** Drops an entry that was removed before and is now removed again. */
  dropRelisted(name: string): void {
    this.#relisted.delete(name);
  }

  /**
   * Applies what a copy of the store lists or lacks once it has had time to be
   * corrected; returns whether that changed anything, and calls `onListed` with
   * each upstream that is used again.
   */
  expireRestored(
    now: Milliseconds,
    onListed: (upstream: Upstream) => void = () => {},
  ): boolean {
    const upstreams = this.#relisted.takeExpired(now);
    for (const upstream of upstreams) {
      this.set(upstream);
      onListed(upstream);
    }
    const isChanged = this.#evacuations.expire(now);
    if (isChanged) this.#recordChange();
    return isChanged || upstreams.length > 0;
  }

  /** Drops lapsed entries that were not listed again, and returns them. */
  expireLapsed(now: Milliseconds): Upstream[] {
    const gone: Upstream[] = [];
    for (const { upstream, keptUntil } of this.#entries.values()) {
      if (keptUntil !== undefined && keptUntil <= now) gone.push(upstream);
    }
    for (const { upstream } of gone) this.remove(upstream);
    return gone;
  }

  /**
   * Returns the available upstreams of a service; the same array until it
   * changes.
   */
  of(service: ServiceId): readonly Upstream[] {
    this.#index();
    return this.#byService.get(service) ?? NO_UPSTREAMS;
  }

  /** Returns an upstream if it may receive requests. */
  get(upstream: UpstreamId): Upstream | undefined {
    const listed = this.findListed(upstream);
    if (listed === undefined) return undefined;
    const isUsed = !this.#evacuations.domains.has(listed.failureDomain) &&
      !this.#reports.has(upstream);
    return isUsed ? listed : undefined;
  }

  /** Returns an upstream if it is listed, even if it receives no requests. */
  findListed(upstream: UpstreamId): Upstream | undefined {
    return this.#entries.get(upstream)?.upstream;
  }

  /** Returns all listed upstreams. */
  all(): Upstream[] {
    return [...this.#entries.values()].map(({ upstream }) => upstream);
  }

  /** Returns the lapsed upstreams, for peers that do not read the store. */
  lapsed(now: Milliseconds): LapsedUpstream[] {
    const lapsed: LapsedUpstream[] = [];
    for (const { upstream: { name }, keptUntil } of this.#entries.values()) {
      if (keptUntil !== undefined) lapsed.push({ name, left: keptUntil - now });
    }
    return lapsed;
  }

  /** Increases with each change of the available upstreams. */
  get version(): number {
    return this.#version;
  }

  /** Returns an upstream, even if it has left. */
  lastKnown(upstream: UpstreamId): Upstream | undefined {
    return this.#remembered.get(upstream);
  }

  get size(): number {
    return this.#entries.size;
  }

  services(): Iterable<ServiceId> {
    this.#index();
    return this.#byService.keys();
  }

  /** Drops the oldest upstream that is not listed. */
  #dropOldest(
    known: Set<UpstreamId> | Map<UpstreamId, unknown>,
  ): void {
    for (const id of known.keys()) {
      if (this.#entries.has(id)) continue;
      known.delete(id);
      return;
    }
  }

  #recordChange(): void {
    this.#version++;
    this.#isIndexed = false;
  }

  /** Lists the upstreams by service; once for all changes since the last use. */
  #index(): void {
    if (this.#isIndexed) return;
    this.#isIndexed = true;
    this.#byService.clear();
    this.#evacuatedServices.clear();
    for (const { upstream } of this.#entries.values()) {
      const { service, failureDomain } = upstream;
      if (this.#reports.has(upstream.upstream)) continue;
      if (this.#evacuations.domains.has(failureDomain)) {
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

/**
 * Whether two entries of one incarnation agree in everything that affects
 * scheduling.
 */
function isEquivalent(left: Upstream, right: Upstream): boolean {
  return left.bornAt === right.bornAt && left.service === right.service &&
    left.address === right.address && left.slots === right.slots &&
    left.failureDomain === right.failureDomain &&
    left.softwareVersion === right.softwareVersion &&
    left.isLeaving === right.isLeaving;
}
