import {
  type FailureDomain,
  type HostId,
  type Incarnation,
  type Milliseconds,
  type Random,
  rendezvousWeight,
} from "@wasabivane/common";
import type { CoordinatorCandidate } from "@wasabivane/admission";
import type { PeerMention } from "./peerWord.ts";

/** A peer of whom nobody heard for so long is taken for lost in a small fleet. */
const LOST_MS: Milliseconds = 1_500;
/**
 * For each host that is known it may take so much longer: news of a host comes by
 * others, and each word carries few of them. Who depends on a peer at once notices
 * its silence itself, by the answer that does not come.
 */
const LOST_BY_HOST_MS: Milliseconds = 150;
/** A lost peer is still spoken to for so long, in case it comes back. */
const FORGET_MS: Milliseconds = 60_000;
/** Times between words to a seed that never answered. */
const KNOCK_MS: Milliseconds = 200;
/** Key of the order in which hosts read the store for all. */
const READER_KEY = "store readers";
/** Two starts of one host are at least so far apart; ages told by others are that exact. */
const RESTART_MS: Milliseconds = 150;
/** Ages of candidates for keeping cells are looked at again so often, */
const CANDIDATES_MS: Milliseconds = 500;
/** while one of them is so young that its age may still count. */
const YOUNG_MS: Milliseconds = 10_000;

interface Peer {
  incarnation: Incarnation;
  address: string;
  failureDomain: FailureDomain;
  startedAt: Milliseconds;
  /** When somebody heard it last. */
  heardAt: Milliseconds;
  /** Number of the last word that came from itself. */
  sequence: number;
  isLeaving: boolean;
  canRead: boolean;
  readonly cores: number;
  isLost: boolean;
  /** Its place in the order of readers. */
  readonly readerWeight: string;
}

/** Something changed about a peer. */
export interface PeerChange {
  readonly host: HostId;
  readonly kind: "found" | "lost";
}

/** What a {@link PeerBook} is built from. */
export interface PeerBookOptions {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly startedAt: Milliseconds;
  /** Processor cores that this host may use. */
  readonly cores: number;
  readonly seeds: readonly string[];
}

/**
 * Finds the other hosts from a few seed addresses and from what hosts tell of each
 * other. There is no list to read; seeds may be stale or down, so every host that
 * was ever heard of is spoken to for a minute, and a restarted one is found again
 * through whoever it speaks to first.
 */
export class PeerBook {
  readonly #options: PeerBookOptions;
  readonly #readerWeight: string;
  readonly #peers = new Map<HostId, Peer>();
  readonly #seeds = new Map<string, Milliseconds>();
  readonly #changes: PeerChange[] = [];
  #mentionOffset = 0;
  #candidates: readonly CoordinatorCandidate[] = [];
  #candidatesAt: Milliseconds = -Infinity;
  #hasYoung = true;
  #isLeaving = false;

  constructor(options: PeerBookOptions) {
    this.#options = options;
    this.#readerWeight = rendezvousWeight(READER_KEY, options.host);
    this.setSeeds(options.seeds);
  }

  /** Replaces the seed addresses. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds.clear();
    for (const address of seeds) this.#seeds.set(address, -Infinity);
  }

  /** Takes in that a host spoke; false for a word older than what was heard. */
  hear(self: PeerMention, sequence: number, now: Milliseconds): boolean {
    const former = this.#peers.get(self.host);
    const isSame = former?.incarnation === self.incarnation;
    if (isSame && sequence <= former.sequence) return false;
    if (!this.hearMention(self, now)) return false;
    this.#peers.get(self.host)!.sequence = sequence;
    this.#seeds.delete(self.address);
    return true;
  }

  /** Takes in that a peer speaks of a host; false for one that is over, or this one. */
  hearMention(mention: PeerMention, now: Milliseconds): boolean {
    const { host, incarnation, silence, age } = mention;
    if (host === this.#options.host) return false;
    const heardAt = now - silence;
    const startedAt = now - age;
    const former = this.#peers.get(host);
    if (former?.incarnation === incarnation) {
      this.#refresh(former, mention, heardAt);
      return true;
    }
    const isOlder = former !== undefined &&
      startedAt < former.startedAt + RESTART_MS;
    if (isOlder) return false;
    this.#peers.set(host, {
      incarnation,
      address: mention.address,
      failureDomain: mention.failureDomain,
      startedAt,
      heardAt,
      sequence: 0,
      isLeaving: mention.isLeaving,
      canRead: mention.canRead,
      cores: mention.cores,
      isLost: now - heardAt > this.#lostAfter(),
      readerWeight: former?.readerWeight ?? rendezvousWeight(READER_KEY, host),
    });
    this.#candidatesAt = -Infinity;
    this.#changes.push({ host, kind: "found" });
    return true;
  }

  /** Addresses of up to `count` peers drawn at random, and of seeds that never spoke. */
  takeTargets(
    { count, random, now }: {
      count: number;
      random: Random;
      now: Milliseconds;
    },
  ): string[] {
    const targets = this.#draw(count, random);
    for (const [address, knockedAt] of this.#seeds) {
      if (now - knockedAt < KNOCK_MS) continue;
      this.#seeds.set(address, now);
      targets.push(address);
    }
    return targets;
  }

  /** Notices silence; gives back who was found and lost since the last call. */
  takeChanges(now: Milliseconds): PeerChange[] {
    const lostAfter = this.#lostAfter();
    for (const [host, peer] of this.#peers) {
      const silence = now - peer.heardAt;
      if (!peer.isLost && silence > lostAfter) {
        peer.isLost = true;
        this.#candidatesAt = -Infinity;
        this.#changes.push({ host, kind: "lost" });
      }
      if (peer.isLost && silence > lostAfter + FORGET_MS) {
        this.#peers.delete(host);
      }
    }
    return this.#changes.splice(0);
  }

  /** Peers that live, as far as is known. */
  get aliveCount(): number {
    let count = 0;
    for (const { isLost } of this.#peers.values()) if (!isLost) count++;
    return count;
  }

  /** Hosts that go before this one in reading the store for all. */
  get readersAhead(): number {
    let count = 0;
    for (const peer of this.#peers.values()) {
      if (peer.isLost || peer.isLeaving || !peer.canRead) continue;
      if (peer.readerWeight > this.#readerWeight) count++;
    }
    return count;
  }

  /** Peers that live and can read the store themselves. */
  get readingCount(): number {
    let count = 0;
    for (const { isLost, canRead } of this.#peers.values()) {
      if (!isLost && canRead) count++;
    }
    return count;
  }

  /** The hosts that may keep a cell; the same list until something changes. */
  candidates(
    { isLeaving, now }: { isLeaving: boolean; now: Milliseconds },
  ): readonly CoordinatorCandidate[] {
    const isFresh = !this.#hasYoung || now - this.#candidatesAt < CANDIDATES_MS;
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
    this.#hasYoung = candidates.some(({ age }) => age < YOUNG_MS);
    this.#candidates = candidates;
    return candidates;
  }

  /** Any peer that lives. */
  pick(random: Random): HostId | undefined {
    const alive = [...this.#peers].filter(([, { isLost }]) => !isLost);
    return alive.length === 0 ? undefined : random.pick(alive)[0];
  }

  /** Addresses of all peers that live. */
  aliveAddresses(): string[] {
    const addresses: string[] = [];
    for (const { isLost, address } of this.#peers.values()) {
      if (!isLost) addresses.push(address);
    }
    return addresses;
  }

  addressOf(host: HostId): string | undefined {
    return this.#peers.get(host)?.address;
  }

  /** Up to `count` of the peers that live, others each time. */
  takeMentions(count: number, now: Milliseconds): PeerMention[] {
    if (count === 0) return [];
    const alive = [...this.#peers].filter(([, { isLost }]) => !isLost);
    const mentions: PeerMention[] = [];
    for (let index = 0; index < Math.min(count, alive.length); index++) {
      const at = (this.#mentionOffset + index) % alive.length;
      const [host, peer] = alive[at]!;
      mentions.push(mentionOf(host, peer, now));
    }
    this.#mentionOffset = alive.length === 0
      ? 0
      : (this.#mentionOffset + mentions.length) % alive.length;
    return mentions;
  }

  #refresh(
    peer: Peer,
    { host, address, isLeaving, canRead }: PeerMention,
    heardAt: Milliseconds,
  ): void {
    if (heardAt < peer.heardAt) return;
    if (peer.isLost) this.#changes.push({ host, kind: "found" });
    const isChanged = peer.isLost || peer.isLeaving !== isLeaving;
    peer.heardAt = heardAt;
    peer.address = address;
    peer.isLeaving ||= isLeaving;
    peer.canRead = canRead;
    peer.isLost = false;
    if (isChanged) this.#candidatesAt = -Infinity;
  }

  /** Peers at random; a lost one now and then, in case it comes back. */
  #draw(count: number, random: Random): string[] {
    const alive: string[] = [];
    const lost: string[] = [];
    for (const { isLost, address } of this.#peers.values()) {
      (isLost ? lost : alive).push(address);
    }
    const drawn: string[] = [];
    while (drawn.length < count && alive.length > 0) {
      const at = Math.floor(random.float() * alive.length);
      drawn.push(alive[at]!);
      alive[at] = alive[alive.length - 1]!;
      alive.pop();
    }
    if (lost.length > 0) drawn.push(random.pick(lost));
    return drawn;
  }

  #lostAfter(): Milliseconds {
    return Math.max(LOST_MS, LOST_BY_HOST_MS * this.#peers.size);
  }
}

function mentionOf(
  host: HostId,
  { incarnation, address, failureDomain, ...peer }: Peer,
  now: Milliseconds,
): PeerMention {
  return {
    host,
    incarnation,
    address,
    failureDomain,
    age: now - peer.startedAt,
    silence: now - peer.heardAt,
    isLeaving: peer.isLeaving,
    canRead: peer.canRead,
    cores: peer.cores,
  };
}
