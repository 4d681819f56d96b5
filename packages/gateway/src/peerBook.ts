import {
  type HostId,
  type Incarnation,
  type Milliseconds,
  type Random,
  rendezvousWeight,
} from "@wasabivane/common";
import type { PeerMention } from "./peerWord.ts";

/** A peer that says nothing for so long is taken for lost. */
const LOST_MS: Milliseconds = 1_500;
/** A lost peer is still spoken to for so long, in case it comes back. */
const FORGET_MS: Milliseconds = 60_000;
/** Times between words to a peer that is lost, or to a seed that never answered. */
const KNOCK_MS: Milliseconds = 500;
/**
 * A reader of the store that says nothing for so long is no longer relied on. Four
 * words without news fall into it; whoever takes over still hears of an upstream that
 * leaves within the two seconds in which it must get no more work.
 */
const READER_SILENCE_MS: Milliseconds = 900;
/** Key of the order in which hosts read the store for all. */
const READER_KEY = "store readers";
/** Hosts that a word mentions at most; a datagram must stay below a packet. */
const MAXIMUM_MENTIONS = 12;

interface Peer {
  readonly address: string;
  incarnation: Incarnation | undefined;
  sequence: number;
  heardAt: Milliseconds;
  knockedAt: Milliseconds;
  isLost: boolean;
  isReading: boolean;
  /** Its place in the order of readers. */
  readonly readerWeight: string;
}

/** Something changed in the picture of a peer. */
export interface PeerChange {
  readonly host: HostId;
  readonly kind: "found" | "lost";
}

/**
 * Finds the other hosts from a few seed addresses and from what hosts tell of each
 * other. There is no list to read; seeds may be stale or down, so every host that
 * was ever heard of is spoken to for a minute, and a restarted one is found again
 * through whoever it speaks to first.
 */
export class PeerBook {
  readonly #self: HostId;
  readonly #readerWeight: string;
  readonly #peers = new Map<HostId, Peer>();
  readonly #seeds = new Map<string, Milliseconds>();
  #mentionOffset = 0;

  constructor(self: HostId, seeds: readonly string[]) {
    this.#self = self;
    this.#readerWeight = rendezvousWeight(READER_KEY, self);
    this.setSeeds(seeds);
  }

  /** Replaces the seed addresses. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds.clear();
    for (const address of seeds) this.#seeds.set(address, -Infinity);
  }

  /** Takes in a word; `undefined` for one that is older than what was heard. */
  hear(
    { host, incarnation, sequence, address, isReading }: {
      host: HostId;
      incarnation: Incarnation;
      sequence: number;
      address: string;
      isReading: boolean;
    },
    now: Milliseconds,
  ): PeerChange | "known" | undefined {
    if (host === this.#self) return undefined;
    const former = this.#peers.get(host);
    const isSame = former?.incarnation === incarnation;
    if (isSame && sequence <= former.sequence) return undefined;
    this.#peers.set(host, {
      address,
      incarnation,
      sequence,
      heardAt: now,
      knockedAt: now,
      isLost: false,
      isReading,
      readerWeight: former?.readerWeight ?? rendezvousWeight(READER_KEY, host),
    });
    this.#seeds.delete(address);
    return isSame && !former.isLost ? "known" : { host, kind: "found" };
  }

  /** Takes in that a peer speaks of another host. */
  hearMention({ host, address }: PeerMention): void {
    if (host === this.#self || this.#peers.has(host)) return;
    this.#peers.set(host, {
      address,
      incarnation: undefined,
      sequence: -1,
      heardAt: -Infinity,
      knockedAt: -Infinity,
      isLost: true,
      isReading: false,
      readerWeight: rendezvousWeight(READER_KEY, host),
    });
  }

  /** Addresses that get the next word. */
  takeTargets(now: Milliseconds): string[] {
    const targets: string[] = [];
    for (const peer of this.#peers.values()) {
      if (!peer.isLost) targets.push(peer.address);
      else if (now - peer.knockedAt >= KNOCK_MS) {
        peer.knockedAt = now;
        targets.push(peer.address);
      }
    }
    for (const [address, knockedAt] of this.#seeds) {
      if (now - knockedAt < KNOCK_MS) continue;
      this.#seeds.set(address, now);
      targets.push(address);
    }
    return targets;
  }

  /** Notices silence; gives back who was lost. */
  expire(now: Milliseconds): PeerChange[] {
    const changes: PeerChange[] = [];
    for (const [host, peer] of this.#peers) {
      const silence = now - peer.heardAt;
      if (!peer.isLost && silence > LOST_MS) {
        peer.isLost = true;
        changes.push({ host, kind: "lost" });
      }
      const isForgotten = peer.isLost && silence > FORGET_MS &&
        peer.incarnation !== undefined;
      if (isForgotten) this.#peers.delete(host);
    }
    return changes;
  }

  /** Peers that speak. */
  get aliveCount(): number {
    let count = 0;
    for (const { isLost } of this.#peers.values()) if (!isLost) count++;
    return count;
  }

  /** Peers that speak and read the store themselves. */
  get readingCount(): number {
    let count = 0;
    for (const { isLost, isReading } of this.#peers.values()) {
      if (!isLost && isReading) count++;
    }
    return count;
  }

  /** Peers that read the store with success and go before this host in doing so. */
  readersAhead(now: Milliseconds): number {
    let count = 0;
    for (const { isReading, heardAt, readerWeight } of this.#peers.values()) {
      if (!isReading || now - heardAt > READER_SILENCE_MS) continue;
      if (readerWeight > this.#readerWeight) count++;
    }
    return count;
  }

  /** Any peer that speaks. */
  pick(random: Random): HostId | undefined {
    const alive = [...this.#peers].filter(([, { isLost }]) => !isLost);
    return alive.length === 0 ? undefined : random.pick(alive)[0];
  }

  addressOf(host: HostId): string | undefined {
    return this.#peers.get(host)?.address;
  }

  /** Some of the peers that speak, others each time. */
  takeMentions(): PeerMention[] {
    const alive = [...this.#peers].filter(([, { isLost }]) => !isLost);
    if (alive.length === 0) return [];
    const mentions: PeerMention[] = [];
    const count = Math.min(MAXIMUM_MENTIONS, alive.length);
    for (let index = 0; index < count; index++) {
      const at = (this.#mentionOffset + index) % alive.length;
      const [host, { address }] = alive[at]!;
      mentions.push({ host, address });
    }
    this.#mentionOffset = (this.#mentionOffset + count) % alive.length;
    return mentions;
  }
}
