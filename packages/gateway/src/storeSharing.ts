import type { HostId, Milliseconds } from "@wasabivane/common";
import type { Result } from "neverthrow";
import type { GatewayContext } from "./gatewayContext.ts";
import {
  askBelief,
  type Belief,
  type FetchError,
  type KnownBelief,
} from "./operatorPages.ts";
import type { PeerBook } from "./peerBook.ts";
import type { UpstreamUpdates } from "./upstreamUpdates.ts";

/** Hosts that read the store for all; with one of them lost there are two still. */
const STORE_READERS = 3;
/**
 * A host whose readers' proofs are older than this share of the time within which a
 * published policy must be in force reads itself: the readers may be killed or cut off
 * all together. The next in order come first, so that not all read at once.
 */
const FIRST_STALE_SHARE = 0.35;
const LAST_STALE_SHARE = 0.6;
/** So many hosts, in their order, come to read between the two shares. */
const STALE_RANKS = 16;
/**
 * A host that has just read everything waits so long before it watches: until it knows
 * its peers it takes itself for one of the few, and hundreds that start together would
 * all watch at once.
 */
const SETTLING_MS: Milliseconds = 600;
/** A host that cannot read the store asks a peer so often what it holds. */
const PEER_ASK_MS: Milliseconds = 1_000;
/**
 * A reading host hears of a change by its own watch at about the same time as its
 * peers. One that has not after this time may watch over a connection that went
 * silent, and takes a peer's word.
 */
const OWN_WATCH_MS: Milliseconds = 300;
/** Peers asked at once: with one of them hung or killed, the other still answers. */
const FETCHES_AT_ONCE = 2;

/** What a {@link StoreSharing} needs. */
export interface StoreSharingOptions {
  readonly parts: GatewayContext;
  readonly book: PeerBook;
  readonly upstreams: UpstreamUpdates;
  /** Within this time of being published, a policy must be in force. */
  readonly applyBound: Milliseconds;
  /** Takes a policy in that was the newest at a moment of the elapsed clock. */
  readonly adoptPolicy: (bytes: Uint8Array, provenAt: Milliseconds) => void;
  /** Fetches what the peer at `ip:port` believes beyond what is known. */
  readonly ask?: (
    address: string,
    known: KnownBelief,
  ) => Promise<Result<Belief, FetchError>>;
}

/**
 * Few hosts read the store, all hear of it: who reads, and what the others fetch.
 *
 * Answers the load of a fleet on the store: each call is paid for, and with every
 * host watching, their number grows with the hosts. Whoever rests fetches from the
 * peer that tells of something newer. Any number of readers may be killed or cut off
 * at once; the others see it by silence, or by proofs that grow old, and read.
 */
export class StoreSharing {
  readonly #options: StoreSharingOptions;
  #isReading = false;
  /** It does not read because enough peers do. */
  #isResting = false;
  /** The last try to read the store failed, or there was none yet. */
  #isStoreLost = true;
  #listRevision = 0;
  /** Since when peers tell of a newer list than this host knows. */
  #isBehindSince: Milliseconds | undefined;
  readonly #asked = new Set<HostId>();
  readonly #startedAt: Milliseconds;
  #askedPeerAt: Milliseconds = -Infinity;

  constructor(options: StoreSharingOptions) {
    this.#options = options;
    this.#startedAt = options.parts.timer.now();
  }

  /** Whether this host reads the store with success. */
  get isReading(): boolean {
    return this.#isReading;
  }

  /** Whether the store answered when this host asked it last. */
  get canRead(): boolean {
    return !this.#isStoreLost;
  }

  /** Whether this host should read the store. */
  get shouldReadStore(): boolean {
    const { book, applyBound, parts } = this.#options;
    const { policies, elapsed, timer } = parts;
    if (this.#listRevision === 0) return true;
    const proofAge = policies.freshness.age(elapsed.now());
    const rank = book.readersAhead - STORE_READERS;
    const isSettling = timer.now() - this.#startedAt < SETTLING_MS;
    if (rank < 0) return !isSettling || proofAge > SETTLING_MS;
    const late = Math.min(1, rank / STALE_RANKS);
    const share = FIRST_STALE_SHARE +
      late * (LAST_STALE_SHARE - FIRST_STALE_SHARE);
    return proofAge > share * applyBound;
  }

  /** Peers that read the store themselves and pass on that nothing changed. */
  get storeReaderCount(): number {
    return this.#options.book.readingCount;
  }

  /** Revision of the store up to which all upstreams are known; 0 when they are not. */
  get listRevision(): number {
    return this.#listRevision;
  }

  /** All upstreams are known up to this revision of the store. */
  advanceListRevision(revision: number): void {
    if (revision <= this.#listRevision) return;
    this.#listRevision = revision;
    this.#isBehindSince = undefined;
  }

  /** A peer tells up to which revision it knows all upstreams. */
  hearOf(
    peer: HostId,
    { listRevision, now }: { listRevision: number; now: Milliseconds },
  ): void {
    if (listRevision <= this.#listRevision) return;
    this.#isBehindSince ??= now;
    const isOwnWatchDue = this.#isReading &&
      now - this.#isBehindSince < OWN_WATCH_MS;
    if (!isOwnWatchDue) void this.askPeer(peer);
  }

  /** Whether the store can be read, for the peers and the log. */
  reportStoreRead(isReading: boolean, detail: string): void {
    this.#isReading = isReading;
    this.#isResting = false;
    if (isReading !== this.#isStoreLost) return;
    this.#isStoreLost = !isReading;
    const event = isReading ? "store_regained" : "store_lost";
    this.#options.parts.log.write(event, { detail });
  }

  /** Enough peers read the store; this host lives on what they tell. */
  followReaders(): void {
    this.#isReading = false;
    this.#isResting = true;
  }

  /** A host that neither reads nor may rest asks a peer now and then. */
  tick(now: Milliseconds): void {
    if (this.#isReading || this.#isResting) return;
    if (now - this.#askedPeerAt < PEER_ASK_MS) return;
    this.#askedPeerAt = now;
    const { book, parts } = this.#options;
    const peer = book.pick(parts.random);
    if (peer !== undefined) void this.askPeer(peer);
  }

  /** Learns from a peer what the store would say. */
  async askPeer(peer: HostId): Promise<void> {
    const { book, parts, ask = askBelief } = this.#options;
    const address = book.addressOf(peer);
    if (address === undefined || this.#asked.has(peer)) return;
    if (this.#asked.size >= FETCHES_AT_ONCE) return;
    this.#asked.add(peer);
    const askedAt = parts.elapsed.now();
    const fetched = await ask(address, {
      policyVersion: parts.policies.version,
      listRevision: this.#listRevision,
    });
    this.#asked.delete(peer);
    fetched.match(
      (belief) => this.#takeBelief(belief, askedAt),
      ({ detail }) => parts.log.write("policy_rejected", { peer, detail }),
    );
  }

  /**
   * Takes in what a peer believed when it answered. A list that is not newer changes
   * nothing: what it names besides has left since, and no later word would say so.
   */
  #takeBelief(
    { policy, proofAge, upstreams, kept, evacuated, listRevision }: Belief,
    askedAt: Milliseconds,
  ): void {
    const { adoptPolicy, upstreams: news, parts } = this.#options;
    if (listRevision > this.#listRevision) {
      news.applyEvacuation(new Set(evacuated));
      news.applyAll(upstreams);
      const now = parts.timer.now();
      for (const { name, left } of kept) news.drop(name, now + left);
      this.advanceListRevision(listRevision);
    }
    // The peer's proof speaks of its policy and list together; it serves a host that holds both.
    if (policy.length === 0) return;
    const isWhole = listRevision >= this.#listRevision;
    adoptPolicy(policy, isWhole ? askedAt - proofAge : -Infinity);
  }
}
