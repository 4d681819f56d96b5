import type { Buffer } from "node:buffer";
import {
  type HostId,
  type Metrics,
  type Milliseconds,
  PeerLink,
  type PeerListener,
  type PeerMessage,
  type Random,
  type Timer,
} from "@wasabivane/common";
import { LinkSubscriptions } from "./linkSubscriptions.ts";
import { PeerCodec } from "./peerMessages.ts";

/** How a {@link MemoryNetwork} treats messages. */
export interface MemoryNetworkOptions {
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics?: Metrics;
  /** One-way time of every message. */
  readonly delayMs?: Milliseconds;
  /** Up to so much more per message; above 0 messages overtake each other. */
  readonly jitterMs?: Milliseconds;
  /** Share of messages that are lost, 0 to 1. */
  readonly dropShare?: number;
  /** Share of messages that arrive twice, 0 to 1. */
  readonly duplicateShare?: number;
}

/** Shares and times that a running {@link MemoryNetwork} takes on. */
export type MemoryNetworkFaults = Pick<
  MemoryNetworkOptions,
  "delayMs" | "jitterMs" | "dropShare" | "duplicateShare"
>;

/**
 * Joins the links of several hosts in one process. Messages pass through the
 * real codec and may be late, lost, doubled, reordered or cut off.
 */
export class MemoryNetwork {
  readonly #timer: Timer;
  readonly #random: Random;
  readonly #metrics: Metrics | undefined;
  readonly #links = new Map<HostId, MemoryLink>();
  readonly #cuts = new Set<string>();
  #faults: Required<MemoryNetworkFaults>;
  /** Messages handed to the network since its start. */
  sentMessages = 0;
  /** Bytes of their frames. */
  sentBytes = 0;

  constructor(
    {
      timer,
      random,
      metrics,
      delayMs = 1,
      jitterMs = 0,
      dropShare = 0,
      duplicateShare = 0,
    }: MemoryNetworkOptions,
  ) {
    this.#timer = timer;
    this.#random = random;
    this.#metrics = metrics;
    this.#faults = { delayMs, jitterMs, dropShare, duplicateShare };
  }

  /** Joins a host; a host that joins again replaces its former link. */
  join(host: HostId): MemoryLink {
    this.#links.get(host)?.close();
    const link = new MemoryLink(host, this);
    this.#links.set(host, link);
    return link;
  }

  setFaults(faults: MemoryNetworkFaults): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Cuts messages from one host to another, in that direction only. */
  blockDirection(from: HostId, to: HostId): void {
    this.#cuts.add(directionKey(from, to));
  }

  /** Cuts every message between hosts of different groups. */
  partition(groups: readonly (readonly HostId[])[]): void {
    this.heal();
    for (const group of groups) {
      const others = groups.filter((other) => other !== group).flat();
      for (const from of group) {
        for (const to of others) this.blockDirection(from, to);
      }
    }
  }

  heal(): void {
    this.#cuts.clear();
  }

  /** Takes a frame from a link of this network. */
  transmit(from: HostId, to: HostId, options: { frame: Buffer }): void {
    const { frame } = options;
    this.sentMessages++;
    this.sentBytes += frame.length;
    if (this.#cuts.has(directionKey(from, to))) return;
    if (this.#happens(this.#faults.dropShare)) return;
    this.#deliverLater(from, to, { frame });
    if (this.#happens(this.#faults.duplicateShare)) {
      this.#deliverLater(from, to, { frame });
    }
  }

  /** Counts a frame that was not taken. */
  countRejected(reason: string): void {
    this.#metrics?.count("peer_frames_rejected", 1, { reason });
  }

  #deliverLater(from: HostId, to: HostId, options: { frame: Buffer }): void {
    const jitter = this.#random.float() * this.#faults.jitterMs;
    this.#timer.after(this.#faults.delayMs + jitter, () => {
      if (this.#cuts.has(directionKey(from, to))) return;
      this.#links.get(to)?.receive(from, options.frame);
    });
  }

  #happens(share: number): boolean {
    return share > 0 && this.#random.float() < share;
  }
}

/** One host's end of a {@link MemoryNetwork}. */
export class MemoryLink extends PeerLink {
  override readonly self: HostId;
  readonly #network: MemoryNetwork;
  readonly #codec = new PeerCodec();
  readonly #subscriptions = new LinkSubscriptions();
  readonly #held: { from: HostId; frame: Buffer }[] = [];
  #isPaused = false;
  #isClosed = false;

  constructor(self: HostId, network: MemoryNetwork) {
    super();
    this.self = self;
    this.#network = network;
  }

  override send(to: HostId, message: PeerMessage): void {
    if (this.#isClosed) return;
    const frame = this.#codec.encode(message);
    if (frame.isErr()) return this.#network.countRejected(frame.error.kind);
    this.#network.transmit(this.self, to, { frame: frame.value });
  }

  override subscribe(kind: string, listener: PeerListener): () => void {
    return this.#subscriptions.add(kind, listener);
  }

  /** Holds arriving frames, as the kernel does for a stopped process. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Delivers what arrived during the pause, in order. */
  resume(): void {
    this.#isPaused = false;
    for (const { from, frame } of this.#held.splice(0)) {
      this.receive(from, frame);
    }
  }

  /** Ends the link as the death of its process would. */
  close(): void {
    this.#isClosed = true;
  }

  /** Takes a frame from the network. */
  receive(from: HostId, frame: Buffer): void {
    if (this.#isClosed) return;
    if (this.#isPaused) {
      this.#held.push({ from, frame });
      return;
    }
    const message = this.#codec.decode(frame);
    if (message.isErr()) return this.#network.countRejected(message.error.kind);
    this.#subscriptions.deliver(from, message.value);
  }
}

function directionKey(from: HostId, to: HostId): string {
  return `${from}>${to}`;
}
