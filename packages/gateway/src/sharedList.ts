import type { FailureDomain, Milliseconds } from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import { createSnapshot } from "./createSnapshot.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { UpstreamListChange } from "./gossipMessage.ts";
import { ListDigest } from "./listDigest.ts";
import { changeBetween, ListHistory } from "./listHistory.ts";
import type { KnownVersions, StoreSnapshot } from "./operatorEndpoints.ts";
import { eraOf } from "./storeRevision.ts";
import type { UpstreamUpdates } from "./upstreamUpdates.ts";

/**
 * Time after a restore of the store within which operators and upstreams write
 * again what its copy lacks.
 */
const RENEWAL_MS: Milliseconds = 2_000;
const DEFAULT_ENTRY_LEASE_MS: Milliseconds = 6_000;

/** All upstreams and evacuations at one revision of the store. */
export interface UpstreamList {
  readonly upstreams: readonly Upstream[];
  readonly evacuated: readonly FailureDomain[];
  /** Joined store revision. */
  readonly revision: number;
  /** Until when missing entries are used, as they may have lapsed. */
  readonly keepUntil?: Milliseconds | undefined;
}

/** Options of a {@link SharedList}. */
export interface SharedListOptions {
  readonly context: GatewayContext;
  readonly upstreamUpdates: UpstreamUpdates;
  /** Time after which the store drops an entry that is not renewed. */
  readonly entryLease?: Milliseconds | undefined;
  /** Called when the revision has risen. */
  readonly onAdvance: () => void;
}

/**
 * Applies the upstream list of the store and of peers in the order of the store's
 * revisions, and sends peers what changed.
 */
export class SharedList {
  readonly #options: SharedListOptions;
  readonly #history = new ListHistory();
  readonly #digest = new ListDigest();
  #revision = 0;
  /**
   * Lowest revision that the store has shown to be wrong, by being at a lower
   * one.
   */
  #refutedRevision = Infinity;
  /** Until when entries that a restored store lacks may be written again. */
  #renewedBy: Milliseconds = -Infinity;
  /** Until when a restored store may list entries of upstreams that are gone. */
  #ignoreRemovedUntil: Milliseconds = -Infinity;

  constructor(options: SharedListOptions) {
    this.#options = options;
  }

  /** Store revision up to which all upstreams are known; 0 if they are not. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Raises the store revision up to which all upstreams are known, after changes
   * that cannot be sent to peers as a difference.
   */
  advance(revision: number): void {
    if (revision > this.#revision) {
      this.#history.restart(revision);
      this.#digest.clear();
    }
    this.#raise(revision);
  }

  /** Records a change of the list that has been applied. */
  recordChange(change: UpstreamListChange): void {
    if (change.to > this.#revision) {
      this.#history.record(change, this.#revision);
      this.#digest.apply(change);
    }
    this.#raise(change.to);
  }

  #raise(revision: number): void {
    if (revision >= this.#refutedRevision) this.#refutedRevision = Infinity;
    if (revision <= this.#revision) return;
    this.#revision = revision;
    this.#options.onAdvance();
  }

  /**
   * Records upstreams that this host uses only now although its revision covers
   * them.
   */
  recordListed(upstreams: readonly Upstream[]): void {
    this.#history.addToAll(upstreams);
  }

  /** Whether a revision that a peer tells of is newer, and may be right. */
  isNewer(revision: number): boolean {
    return revision > this.#revision && this.isPlausible(revision);
  }

  /** Whether the store may have reached a revision that a peer tells of. */
  isPlausible(revision: number): boolean {
    return revision < this.#refutedRevision;
  }

  /**
   * Applies the list of the store itself. `knownBefore` is the revision that was
   * known when it was requested: if the store is not even there, that one is
   * wrong, and peers that tell of it are not believed.
   */
  applyStoreList(list: UpstreamList, knownBefore: number): void {
    const { revision } = list;
    if (revision < knownBefore) {
      this.#refutedRevision = Math.min(knownBefore, this.#refutedRevision);
      this.#revision = 0;
    }
    // A peer may have sent a newer list during the read.
    if (revision < this.#revision) return;
    this.#applyList(list, "store");
    this.#digest.replace(list.upstreams);
    const isRefuted = revision < knownBefore &&
      eraOf(revision) === eraOf(knownBefore);
    // A peer's list at a refuted revision may not be what the store had there.
    this.#history.restart(isRefuted ? knownBefore + 1 : revision);
    this.#raise(revision);
  }

  /** Replaces the list; an entry or evacuation that a copy lacks is kept a while. */
  #applyList(
    { upstreams, evacuated, revision, keepUntil }: UpstreamList,
    by: "store" | "peer",
  ): void {
    const { upstreamUpdates, context } = this.#options;
    const now = context.timer.now();
    const isRestored = this.#recordEra(eraOf(revision), by);
    const ifAhead = (time: Milliseconds): Milliseconds | undefined =>
      time > now ? time : undefined;
    upstreamUpdates.applyEvacuation(
      new Set(evacuated),
      isRestored ? this.#ignoreRemovedUntil : undefined,
    );
    upstreamUpdates.applyAll(upstreams, {
      keepUntil: keepUntil ?? ifAhead(this.#renewedBy),
      ignoreRemovedUntil: ifAhead(this.#ignoreRemovedUntil),
    });
  }

  /** Returns whether the store has come back from a copy since the last list. */
  #recordEra(era: number, by: "store" | "peer"): boolean {
    const former = eraOf(this.#revision);
    const { log, metrics } = this.#options.context;
    metrics.set("store_era", era);
    if (former === 0 || era <= former) return false;
    log.write("store_era_changed", { former, era, by });
    const { context, entryLease = DEFAULT_ENTRY_LEASE_MS } = this.#options;
    this.#renewedBy = context.timer.now() + RENEWAL_MS;
    this.#ignoreRemovedUntil = this.#renewedBy + entryLease;
    return true;
  }

  /** Returns this host's contents of the store, for a peer. */
  createSnapshot(known: KnownVersions): StoreSnapshot {
    return createSnapshot({
      context: this.#options.context,
      history: this.#history,
      listRevision: this.#revision,
      listCheck: this.#digest.check,
      known,
    });
  }

  /**
   * Applies a peer's list or difference. Ignores one that is not newer, since it
   * would bring back upstreams that have left. Returns false for a difference
   * that does not follow on the list, or not lead to that of the peer.
   */
  applySnapshot(snapshot: StoreSnapshot): boolean {
    const { listRevision, change } = snapshot;
    if (!this.isNewer(listRevision)) return true;
    if (change !== undefined && !this.#follows(change)) return false;
    if (this.#isRefuted(snapshot)) {
      this.#options.context.metrics.count("list_differences_refuted");
      return false;
    }
    this.#applyUpstreams(snapshot);
    return true;
  }

  /** Whether a difference misses no change after this host's list. */
  #follows({ from, to }: UpstreamListChange): boolean {
    return from <= this.#revision &&
      eraOf(to) === eraOf(this.#revision);
  }

  /**
   * Whether a difference leads to another list than the peer has. Where the store
   * tells no era, two lists of one revision may differ.
   */
  #isRefuted({ change, kept, listCheck }: StoreSnapshot): boolean {
    if (change === undefined || listCheck === undefined) return false;
    const lapsed = kept.map(({ name }) => name);
    return !this.#digest.leadsTo(listCheck, { change, lapsed });
  }

  #applyUpstreams(snapshot: StoreSnapshot): void {
    const { upstreamUpdates, context } = this.#options;
    const { change, kept } = snapshot;
    if (change === undefined) {
      context.metrics.count("whole_lists_fetched");
      this.#applyPeerList(snapshot);
    } else {
      context.metrics.count("list_changes_fetched");
      upstreamUpdates.applyChange(change);
      this.recordChange(change);
      this.#digest.apply({
        upstreams: [],
        removed: kept.map(({ name }) => name),
      });
    }
    const now = context.timer.now();
    for (const { name, left } of kept) upstreamUpdates.remove(name, now + left);
  }

  /**
   * Replaces the list by that of a peer. The history goes on, or hosts that have
   * fetched a whole list would have to send whole lists to others.
   */
  #applyPeerList(
    { upstreams, evacuated, kept, listRevision, listCheck }: StoreSnapshot,
  ): void {
    const known = this.#revision;
    const change = changeBetween(this.#options.context.directory.all(), {
      from: known,
      to: listRevision,
      upstreams,
      kept,
    });
    this.#applyList({ upstreams, evacuated, revision: listRevision }, "peer");
    this.recordChange(change);
    const lapsed = kept.map(({ name }) => name);
    this.#digest.replace(upstreams, { lapsed, check: listCheck });
  }
}
