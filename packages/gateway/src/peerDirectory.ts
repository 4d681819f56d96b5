import {
  type Address,
  type FailureDomain,
  type HostId,
  type Incarnation,
  type Milliseconds,
  type Random,
  rendezvousWeight,
} from "@wasabivane/common";
import type { CoordinatorCandidate } from "@wasabivane/admission";
import type { PeerRecord } from "./gossipMessage.ts";
import { createPeerIndex, drawDistinct, type PeerIndex } from "./peerIndex.ts";
import type { RelayPeer } from "./relayClient.ts";
import { TransitEstimator } from "./transitEstimator.ts";

/** Minimum silence after which a peer counts as lost. */
const MINIMUM_LOST_MS: Milliseconds = 1_500;
/**
 * Silence allowed per known host, since messages carry records of only a few
 * peers.
 */
const LOST_PER_HOST_MS: Milliseconds = 150;
/**
 * Time for which messages are still sent to a lost peer, in case it returns.
 */
const FORGET_MS: Milliseconds = 60_000;
/** Hosts that messages may name; further ones are not taken in. */
const MAXIMUM_PEERS = 2_048;
/** Interval of messages to a seed that has not replied. */
const SEED_RETRY_MS: Milliseconds = 200;
/** Rendezvous key for the order of store readers. */
const READER_KEY = "store readers";
/**
 * Minimum time between two starts of a host; smaller differences are
 * inaccuracy.
 */
const MINIMUM_RESTART_MS: Milliseconds = 150;
/** Refresh interval of the candidates while one of them is young. */
const CANDIDATES_REFRESH_MS: Milliseconds = 500;
/**
 * Age from which a candidate's age no longer affects the order of coordinators.
 */
const YOUNG_AGE_MS: Milliseconds = 10_000;

interface Peer {
  incarnation: Incarnation;
  address: Address;
  failureDomain: FailureDomain;
  startedAt: Milliseconds;
  /** Time at which any host last received a message from it. */
  lastHeardAt: Milliseconds;
  /** Number of the last message received directly from it. */
  sequence: number;
  isLeaving: boolean;
  isStoreReachable: boolean;
  readonly cores: number;
  isLost: boolean;
  /** Sort key in the order of store readers. */
  readonly readerWeight: string;
  readonly transitEstimator: TransitEstimator;
  /**
   * Extra time in transit of its last message; `undefined` if nothing was known
   * of it before.
   */
  transit: Milliseconds | undefined;
}

/** A peer that was found or lost. */
export interface PeerChange {
  readonly host: HostId;
  readonly kind: "found" | "lost";
}

/** Options of a {@link PeerDirectory}. */
export interface PeerDirectoryOptions {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly startedAt: Milliseconds;
  /** Processor cores available to this host. */
  readonly cores: number;
  readonly seeds: readonly Address[];
}

/**
 * Tracks the other hosts of the fleet, discovered from seed addresses and from
 * peers' messages. Lost hosts are contacted for a while, since all seeds may be
 * down.
 */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  readonly #readerWeight: string;
  readonly #peers = new Map<HostId, Peer>();
  readonly #seeds = new Map<Address, Milliseconds>();
  readonly #changes: PeerChange[] = [];
  /** `undefined` after a change. */
  #index: PeerIndex<Peer> | undefined;
  #recordOffset = 0;
  #candidates: readonly CoordinatorCandidate[] = [];
  #candidatesAt: Milliseconds = -Infinity;
  #hasYoungCandidate = true;
  #isLeaving = false;

  constructor(options: PeerDirectoryOptions) {
    this.#options = options;
    this.#readerWeight = rendezvousWeight(READER_KEY, options.host);
    this.setSeeds(options.seeds);
  }

  /** Replaces the seed addresses. */
  setSeeds(seeds: readonly Address[]): void {
    this.#seeds.clear();
    for (const address of seeds) this.#seeds.set(address, -Infinity);
  }

  /**
   * Records a message received from a host; returns false for an outdated one.
   */
  recordMessage(
    sender: PeerRecord,
    sequence: number,
    now: Milliseconds,
  ): boolean {
    const previous = this.#peers.get(sender.host);
    const isSame = previous?.incarnation === sender.incarnation;
    if (isSame && sequence <= previous.sequence) return false;
    if (!this.mergeRecord(sender, now)) return false;
    const peer = this.#peers.get(sender.host)!;
    peer.sequence = sequence;
    peer.transit = estimateTransit(peer, { sender, isKnown: isSame, now });
    this.#seeds.delete(sender.address);
    return true;
  }

  /**
   * Merges a record of a host; returns false for an older incarnation or this
   * host.
   */
  mergeRecord(record: PeerRecord, now: Milliseconds): boolean {
    const { host, incarnation, timeSinceHeard, age } = record;
    if (host === this.#options.host) return false;
    const lastHeardAt = now - timeSinceHeard;
    const startedAt = now - age;
    const previous = this.#peers.get(host);
    if (previous?.incarnation === incarnation) {
      this.#refresh(previous, record, lastHeardAt);
      return true;
    }
    const isOlder = previous !== undefined &&
      startedAt < previous.startedAt + MINIMUM_RESTART_MS;
    if (isOlder) return false;
    const isFull = this.#peers.size >= MAXIMUM_PEERS;
    if (previous === undefined && isFull) return false;
    this.#peers.set(host, {
      incarnation,
      address: record.address,
      failureDomain: record.failureDomain,
      startedAt,
      lastHeardAt,
      sequence: 0,
      isLeaving: record.isLeaving,
      isStoreReachable: record.isStoreReachable,
      cores: record.cores,
      isLost: now - lastHeardAt > this.#lostAfter(),
      readerWeight: previous?.readerWeight ??
        rendezvousWeight(READER_KEY, host),
      transitEstimator: new TransitEstimator(),
      transit: undefined,
    });
    this.#candidatesAt = -Infinity;
    this.#index = undefined;
    this.#changes.push({ host, kind: "found" });
    return true;
  }

  /**
   * Returns the addresses of up to `count` random peers and of seeds that have
   * not replied.
   */
  drawTargets(
    { count, random, now }: {
      count: number;
      random: Random;
      now: Milliseconds;
    },
  ): Address[] {
    const targets = this.#drawAddresses(count, random);
    for (const [address, sentAt] of this.#seeds) {
      if (now - sentAt < SEED_RETRY_MS) continue;
      this.#seeds.set(address, now);
      targets.push(address);
    }
    return targets;
  }

  /**
   * Detects lost peers, and returns who was found and lost since the last call.
   */
  takeChanges(now: Milliseconds): PeerChange[] {
    const lostAfter = this.#lostAfter();
    for (const [host, peer] of this.#peers) {
      const silence = now - peer.lastHeardAt;
      if (!peer.isLost && silence > lostAfter) {
        peer.isLost = true;
        this.#candidatesAt = -Infinity;
        this.#index = undefined;
        this.#changes.push({ host, kind: "lost" });
      }
      if (peer.isLost && silence > lostAfter + FORGET_MS) {
        this.#peers.delete(host);
        this.#index = undefined;
      }
    }
    return this.#changes.splice(0);
  }

  /** Number of live peers. */
  get aliveCount(): number {
    return this.#indexed().alive.length;
  }

  /** Number of hosts that precede this one in the order of store readers. */
  get precedingReaderCount(): number {
    return this.#indexed().precedingReaders;
  }

  /** Number of live peers that can read the store. */
  get storeReaderCount(): number {
    return this.#indexed().storeReaders;
  }

  /** Live peers that can read the store, in the order in which they do. */
  get storeReaders(): readonly HostId[] {
    return this.#indexed().orderedReaders;
  }

  /**
   * Returns the hosts that may coordinate a cell; the same array until
   * something changes.
   */
  candidates(
    { isLeaving, now }: { isLeaving: boolean; now: Milliseconds },
  ): readonly CoordinatorCandidate[] {
    const isFresh = !this.#hasYoungCandidate ||
      now - this.#candidatesAt < CANDIDATES_REFRESH_MS;
    const isSame = Number.isFinite(this.#candidatesAt) &&
      isLeaving === this.#isLeaving;
    if (isSame && isFresh) return this.#candidates;
    this.#candidatesAt = now;
    this.#isLeaving = isLeaving;
    const { host, failureDomain, startedAt, cores } = this.#options;
    const candidates: CoordinatorCandidate[] = isLeaving
      ? []
      : [{ host, failureDomain, age: now - startedAt, cores }];
    for (const [peer, { failureDomain, startedAt, ...rest }] of this.#peers) {
      if (rest.isLost || rest.isLeaving) continue;
      const age = now - startedAt;
      candidates.push({ host: peer, failureDomain, age, cores: rest.cores });
    }
    this.#hasYoungCandidate = candidates.some(({ age }) => age < YOUNG_AGE_MS);
    this.#candidates = candidates;
    return candidates;
  }

  /** Returns a random live peer. */
  drawAlive(random: Random): HostId | undefined {
    const { alive } = this.#indexed();
    return alive.length === 0 ? undefined : random.pick(alive)[0];
  }

  /** Returns the live peers that do not stop. */
  relayPeers(): RelayPeer[] {
    return [...this.#peers]
      .filter(([, { isLost, isLeaving }]) => !isLost && !isLeaving)
      .map(([host, { address, failureDomain }]) => ({
        host,
        address,
        failureDomain,
      }));
  }

  /** Returns the addresses of all live peers. */
  aliveAddresses(): Address[] {
    return this.#indexed().alive.map(([, { address }]) => address);
  }

  /**
   * Returns by how much the last message of a host was delayed more than its
   * fastest one; `undefined` if nothing was known of the host before.
   */
  transitOf(host: HostId): Milliseconds | undefined {
    return this.#peers.get(host)?.transit;
  }

  addressOf(host: HostId): Address | undefined {
    return this.#peers.get(host)?.address;
  }

  /** Returns records of up to `count` live peers, rotating through them. */
  takeRecords(count: number, now: Milliseconds): PeerRecord[] {
    if (count === 0) return [];
    const { alive } = this.#indexed();
    const records: PeerRecord[] = [];
    for (let index = 0; index < Math.min(count, alive.length); index++) {
      const at = (this.#recordOffset + index) % alive.length;
      const [host, peer] = alive[at]!;
      records.push(createRecord(host, peer, now));
    }
    this.#recordOffset = alive.length === 0
      ? 0
      : (this.#recordOffset + records.length) % alive.length;
    return records;
  }

  #refresh(
    peer: Peer,
    { host, address, isLeaving, isStoreReachable }: PeerRecord,
    lastHeardAt: Milliseconds,
  ): void {
    if (lastHeardAt < peer.lastHeardAt) return;
    if (peer.isLost) this.#changes.push({ host, kind: "found" });
    const isChanged = peer.isLost || peer.isLeaving !== isLeaving;
    if (isChanged || peer.isStoreReachable !== isStoreReachable) {
      this.#index = undefined;
    }
    peer.lastHeardAt = lastHeardAt;
    peer.address = address;
    peer.isLeaving ||= isLeaving;
    peer.isStoreReachable = isStoreReachable;
    peer.isLost = false;
    if (isChanged) this.#candidatesAt = -Infinity;
  }

  /** Draws random live peers and one lost peer, in case it has returned. */
  #drawAddresses(count: number, random: Random): Address[] {
    const { alive, lost } = this.#indexed();
    const drawn = drawDistinct(alive, { count, random })
      .map(([, { address }]) => address);
    if (lost.length > 0) drawn.push(random.pick(lost).address);
    return drawn;
  }

  /** Returns the peers by state, sorted anew only after a change. */
  #indexed(): PeerIndex<Peer> {
    this.#index ??= createPeerIndex(this.#peers, this.#readerWeight);
    return this.#index;
  }

  #lostAfter(): Milliseconds {
    return Math.max(MINIMUM_LOST_MS, LOST_PER_HOST_MS * this.#peers.size);
  }
}

/**
 * Compares a message with earlier ones of the same sender. Records from other
 * hosts stand in before there are any; they do not tell of a suspension.
 */
function estimateTransit(
  { transitEstimator, startedAt }: Peer,
  { sender: { age }, isKnown, now }: {
    sender: PeerRecord;
    isKnown: boolean;
    now: Milliseconds;
  },
): Milliseconds | undefined {
  const transit = transitEstimator.observe(age, now);
  if (transit !== undefined || !isKnown) return transit;
  return Math.max(0, now - age - startedAt);
}

function createRecord(
  host: HostId,
  { incarnation, address, failureDomain, ...peer }: Peer,
  now: Milliseconds,
): PeerRecord {
  return {
    host,
    incarnation,
    address,
    failureDomain,
    age: now - peer.startedAt,
    timeSinceHeard: now - peer.lastHeardAt,
    isLeaving: peer.isLeaving,
    isStoreReachable: peer.isStoreReachable,
    cores: peer.cores,
  };
}
