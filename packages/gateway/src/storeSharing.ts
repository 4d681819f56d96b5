import type { HostId, Milliseconds } from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import { FetchSchedule } from "./fetchSchedule.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { UpstreamListChange } from "./gossipMessage.ts";
import type {
  KnownVersions,
  SnapshotVersions,
  StoreSnapshot,
} from "./operatorEndpoints.ts";
import type { PolicyProof } from "./policyState.ts";
import { SharedList, type UpstreamList } from "./sharedList.ts";
import { SnapshotFetcher, type SnapshotRequest } from "./snapshotFetcher.ts";
import type { PeerDirectory } from "./peerDirectory.ts";
import type { UpstreamUpdates } from "./upstreamUpdates.ts";

/** Number of hosts that read the store for the fleet. */
const STORE_READERS = 3;
/**
 * Age of the last confirmation, as a share of `applyBound`, at which the first
 * follower reads the store. The others follow by rank, so that not all read at
 * once.
 */
const FIRST_STALE_SHARE = 0.35;
/** Share at which all remaining followers read the store. */
const LAST_STALE_SHARE = 0.6;
/**
 * Followers that start to read, one after the other, between the two shares.
 */
const STALE_RANKS = 16;
/**
 * Time after the start in which a host discovers its peers before it becomes a
 * reader.
 */
const DISCOVERY_MS: Milliseconds = 600;
/** Interval at which a host that cannot read the store fetches from a peer. */
const PEER_FETCH_MS: Milliseconds = 1_000;
/**
 * Time for a host's own watch or first read of the store to deliver what peers
 * have before it is fetched from them.
 */
const OWN_READ_MS: Milliseconds = 300;

/** Options of a {@link StoreSharing}. */
export interface StoreSharingOptions {
  readonly context: GatewayContext;
  readonly peers: PeerDirectory;
  readonly upstreamUpdates: UpstreamUpdates;
  /** Time within which a published policy must take effect. */
  readonly applyBound: Milliseconds;
  /** Time after which the store drops an entry that is not renewed. */
  readonly entryLease?: Milliseconds | undefined;
  /** Adopts a policy with its proof, unless it is older. */
  readonly adoptPolicy: (bytes: Uint8Array, proof: PolicyProof) => void;
  /**
   * Fetches what is newer than the known versions from the peer at `ip:port`.
   */
  readonly requestSnapshot?: SnapshotRequest;
}

/**
 * Decides whether this host reads the store or follows those that do.
 *
 * A few readers bound the load on the store. Followers fetch newer contents
 * from peers that announce them, and become readers when the readers are lost
 * or their confirmations grow old.
 */
export class StoreSharing {
  readonly #options: StoreSharingOptions;
  #isReading = false;
  /** Whether this host follows because enough peers read the store. */
  #isFollowing = false;
  /** Whether the last read of the store failed, or there was none yet. */
  #isStoreLost = true;
  /** Whether the first read of the store has ended, or is not waited for. */
  #isFirstReadOver = false;
  /** Time at which a peer first announced a newer list than this host has. */
  #behindSince: Milliseconds | undefined;
  readonly #list: SharedList;
  readonly #fetches: FetchSchedule;
  readonly #fetcher: SnapshotFetcher;
  readonly #startedAt: Milliseconds;
  #fetchedAt: Milliseconds = -Infinity;

  constructor(options: StoreSharingOptions) {
    this.#options = options;
    this.#startedAt = options.context.timer.now();
    this.#list = new SharedList({
      ...options,
      onAdvance: () => this.#behindSince = undefined,
    });
    this.#fetches = new FetchSchedule({
      timer: options.context.timer,
      isNewer: (versions) => this.#isNewer(versions),
      fetch: (peer) => this.#fetcher.fetch(peer),
    });
    this.#fetcher = new SnapshotFetcher({
      ...options,
      listRevision: () => this.#list.revision,
      apply: (snapshot, requestedAt) =>
        this.#applySnapshot(snapshot, requestedAt),
    });
  }

  /** Whether this host reads the store successfully. */
  get isReading(): boolean {
    return this.#isReading;
  }

  /** Whether this host's last read of the store succeeded. */
  get isStoreReachable(): boolean {
    return !this.#isStoreLost;
  }

  /** Whether this host should read the store. */
  get shouldReadStore(): boolean {
    const { peers, applyBound, context } = this.#options;
    const { policies, elapsed, timer } = context;
    if (this.#list.revision === 0) return true;
    const confirmationAge = policies.freshness.age(elapsed.now());
    const rank = peers.precedingReaderCount - STORE_READERS;
    const isDiscovering = timer.now() - this.#startedAt < DISCOVERY_MS;
    if (rank < 0) return !isDiscovering || confirmationAge > DISCOVERY_MS;
    const progress = Math.min(1, rank / STALE_RANKS);
    const share = FIRST_STALE_SHARE +
      progress * (LAST_STALE_SHARE - FIRST_STALE_SHARE);
    return confirmationAge > share * applyBound;
  }

  /** Number of live peers that can read the store. */
  get storeReaderCount(): number {
    return this.#options.peers.storeReaderCount;
  }

  /** Store revision up to which all upstreams are known; 0 if they are not. */
  get listRevision(): number {
    return this.#list.revision;
  }

  /**
   * Raises the store revision up to which all upstreams are known, after changes
   * that cannot be sent to peers as a difference.
   */
  advanceListRevision(revision: number): void {
    this.#list.advance(revision);
  }

  /** Records a change of the list that has been applied. */
  recordChange(change: UpstreamListChange): void {
    this.#list.recordChange(change);
  }

  /**
   * Records upstreams that this host uses only now although its revision covers
   * them.
   */
  recordListed(upstreams: readonly Upstream[]): void {
    this.#list.recordListed(upstreams);
  }

  /** Whether the store may have reached a revision that a peer tells of. */
  isPlausible(revision: number): boolean {
    return this.#list.isPlausible(revision);
  }

  /**
   * Applies the list of the store itself; `knownBefore` is the revision that was
   * known when it was requested.
   */
  applyStoreList(list: UpstreamList, knownBefore: number): void {
    this.#list.applyStoreList(list, knownBefore);
  }

  /** Handles a peer's list revision, and fetches the list if it is newer. */
  receiveListRevision(
    peer: HostId,
    { listRevision, now }: { listRevision: number; now: Milliseconds },
  ): void {
    const announced = { peer, policyVersion: 0, listRevision };
    if (!this.#isNewer(announced)) return;
    this.#behindSince ??= now;
    const isAwaitingOwnWatch = this.#isReading &&
      now - this.#behindSince < OWN_READ_MS;
    if (isAwaitingOwnWatch || this.#isAwaitingFirstRead(now)) return;
    this.#fetches.announce(announced);
  }

  /** Handles a peer's newer policy, and fetches it. */
  receivePolicyVersion(
    peer: HostId,
    { now, ...versions }: SnapshotVersions & { now: Milliseconds },
  ): void {
    if (this.#isAwaitingFirstRead(now)) return;
    this.#fetches.announce({ peer, ...versions });
  }

  #isAwaitingFirstRead(now: Milliseconds): boolean {
    return !this.#isFirstReadOver && now - this.#startedAt < OWN_READ_MS;
  }

  #isNewer({ policyVersion, listRevision }: SnapshotVersions): boolean {
    if (policyVersion > this.#options.context.policies.version) return true;
    return this.#list.isNewer(listRevision);
  }

  /** Reports whether a read of the store succeeded. */
  reportStoreRead(isReading: boolean, detail: string): void {
    this.#isFirstReadOver = true;
    this.#isReading = isReading;
    this.#isFollowing = false;
    if (isReading !== this.#isStoreLost) return;
    this.#isStoreLost = !isReading;
    const event = isReading ? "store_regained" : "store_lost";
    this.#options.context.log.write(event, { detail });
  }

  /** Switches to following the peers that read the store. */
  followReaders(): void {
    this.#isFirstReadOver = true;
    this.#isReading = false;
    this.#isFollowing = true;
  }

  /**
   * Fetches from a random peer at intervals while this host neither reads nor
   * follows.
   */
  tick(now: Milliseconds): void {
    if (this.#isReading || this.#isFollowing) return;
    if (this.#isAwaitingFirstRead(now)) return;
    if (now - this.#fetchedAt < PEER_FETCH_MS) return;
    this.#fetchedAt = now;
    const { peers, context } = this.#options;
    const peer = peers.drawAlive(context.random);
    if (peer !== undefined) void this.fetchFromPeer(peer);
  }

  /** Fetches the store's contents from a peer and applies them. */
  async fetchFromPeer(peer: HostId): Promise<void> {
    const announced = { peer, policyVersion: 0, listRevision: 0 };
    await this.#fetches.fetchFrom(announced);
  }

  /** Cancels what is to be fetched later. */
  close(): void {
    this.#fetches.close();
  }

  /** Returns this host's contents of the store, for a peer. */
  createSnapshot(known: KnownVersions): StoreSnapshot {
    return this.#list.createSnapshot(known);
  }

  /** Returns false for a difference that does not follow on the list. */
  #applySnapshot(snapshot: StoreSnapshot, requestedAt: Milliseconds): boolean {
    const { adoptPolicy } = this.#options;
    const { policy, policyRevision, listRevision } = snapshot;
    const isApplied = this.#list.applySnapshot(snapshot);
    if (policy.length === 0) return isApplied;
    // The peer's confirmation covers its policy and list together.
    const hasCurrentList = isApplied && listRevision >= this.#list.revision;
    const confirmedAt = hasCurrentList
      ? requestedAt - snapshot.proofAge
      : -Infinity;
    adoptPolicy(policy, { confirmedAt, revision: policyRevision });
    return isApplied;
  }
}
