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

/** Delays and faults of a {@link MemoryNetwork}. */
export interface MemoryNetworkOptions {
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics?: Metrics;
  /** One-way latency of every message. */
  readonly delayMs?: Milliseconds;
  /** Maximum random extra latency; above 0 messages can be reordered. */
  readonly jitterMs?: Milliseconds;
  /** Share of messages that are dropped, 0 to 1. */
  readonly dropShare?: number;
  /** Share of messages that are delivered twice, 0 to 1. */
  readonly duplicateShare?: number;
}

/** Faults that can be changed while a {@link MemoryNetwork} runs. */
export type MemoryNetworkFaults = Pick<
  MemoryNetworkOptions,
  "delayMs" | "jitterMs" | "dropShare" | "duplicateShare"
>;

/**
 * Connects the links of several hosts in one process. Messages pass through the
 * real codec and can be delayed, dropped, duplicated, reordered or blocked.
 */
export class MemoryNetwork {
  readonly #timer: Timer;
  readonly #random: Random;
  readonly #metrics: Metrics | undefined;
  readonly #links = new Map<HostId, MemoryLink>();
  readonly #blocked = new Set<string>();
  #faults: Required<MemoryNetworkFaults>;
  /** Messages sent since the network was created. */
  sentMessages = 0;
  /** Bytes sent since the network was created. */
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

  /** Connects a host; an existing link of the host is closed. */
  join(host: HostId): MemoryLink {
    this.#links.get(host)?.close();
    const link = new MemoryLink(host, this);
    this.#links.set(host, link);
    return link;
  }

  setFaults(faults: MemoryNetworkFaults): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Blocks messages from one host to another in this direction only. */
  blockDirection(from: HostId, to: HostId): void {
    this.#blocked.add(directionKey(from, to));
  }

  /** Blocks messages between hosts of different groups. */
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
    this.#blocked.clear();
  }

  /** Transmits a frame from a link of this network. */
  transmit(from: HostId, to: HostId, options: { frame: Buffer }): void {
    const { frame } = options;
    this.sentMessages++;
    this.sentBytes += frame.length;
    if (this.#blocked.has(directionKey(from, to))) return;
    if (this.#occurs(this.#faults.dropShare)) return;
    this.#scheduleDelivery(from, to, { frame });
    if (this.#occurs(this.#faults.duplicateShare)) {
      this.#scheduleDelivery(from, to, { frame });
    }
  }

  /** Counts a rejected frame. */
  countRejected(reason: string): void {
    this.#metrics?.count("peer_frames_rejected", 1, { reason });
  }

  #scheduleDelivery(
    from: HostId,
    to: HostId,
    options: { frame: Buffer },
  ): void {
    const jitter = this.#random.float() * this.#faults.jitterMs;
    this.#timer.after(this.#faults.delayMs + jitter, () => {
      if (this.#blocked.has(directionKey(from, to))) return;
      this.#links.get(to)?.receive(from, options.frame);
    });
  }

  #occurs(share: number): boolean {
    return share > 0 && this.#random.float() < share;
  }
}

/** Connects one host to a {@link MemoryNetwork}. */
export class MemoryLink extends PeerLink {
  override readonly self: HostId;
  readonly #network: MemoryNetwork;
  readonly #codec = new PeerCodec();
  readonly #subscriptions = new LinkSubscriptions();
  readonly #buffered: { from: HostId; frame: Buffer }[] = [];
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

  /** Buffers incoming frames, as the kernel does for a stopped process. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Delivers the frames buffered during the pause, in order. */
  resume(): void {
    this.#isPaused = false;
    for (const { from, frame } of this.#buffered.splice(0)) {
      this.receive(from, frame);
    }
  }

  /** Closes the link, as if its process had crashed. */
  close(): void {
    this.#isClosed = true;
  }

  /** Receives a frame from the network. */
  receive(from: HostId, frame: Buffer): void {
    if (this.#isClosed) return;
    if (this.#isPaused) {
      this.#buffered.push({ from, frame });
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
