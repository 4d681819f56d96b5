import type { Buffer } from "node:buffer";
import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import type { Address, Milliseconds } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { DatagramFilter } from "./datagramFilter.ts";
import { PORT_TAKEN, type PortError } from "./openPort.ts";
import {
  decodeMessage,
  encodeMessage,
  type PeerMessage,
} from "./peerMessage.ts";

/** The error for an address that a channel cannot bind to. */
export interface ChannelError extends PortError {
  readonly kind: "cannot-bind";
  readonly detail: string;
}

/** Options of a {@link PeerChannel}. */
export interface PeerChannelOptions {
  readonly now: () => Milliseconds;
  readonly onMessage: (message: PeerMessage) => void;
  readonly onMalformed: (detail: string) => void;
  /** Called for each datagram of a source that sent too many malformed ones. */
  readonly onDrop?: () => void;
  /** Called for each datagram, to count traffic. */
  readonly onTraffic: (direction: "heard" | "sent", bytes: number) => void;
}

/**
 * Sends and receives datagrams among hosts. Messages are self-contained and
 * repeated by their senders, so losses are tolerated, and no stalled connection
 * holds back the newest one.
 */
export class PeerChannel {
  readonly #socket: Socket = createSocket("udp4");
  readonly #options: PeerChannelOptions;
  readonly #filter = new DatagramFilter();
  /** The runtime binds a socket that sends before it is bound to another port. */
  #isOpen = false;

  constructor(options: PeerChannelOptions) {
    this.#options = options;
    this.#socket.on("message", (bytes, from) => this.#receive(bytes, from));
  }

  open(address: string): Promise<Result<void, ChannelError>> {
    const { ip, port } = splitAddress(address);
    return new Promise((resolve) => {
      const onError = ({ code, message: detail }: NodeJS.ErrnoException) => {
        const isTaken = code === PORT_TAKEN;
        resolve(err({ kind: "cannot-bind", detail, isTaken }));
      };
      this.#socket.once("error", onError);
      this.#socket.bind(port, ip, () => {
        this.#socket.off("error", onError);
        this.#socket.on(
          "error",
          (error) => this.#options.onMalformed(error.message),
        );
        this.#isOpen = true;
        resolve(ok(undefined));
      });
    });
  }

  send(message: PeerMessage, targets: readonly Address[]): void {
    if (!this.#isOpen) return;
    const { now, onTraffic } = this.#options;
    const bytes = encodeMessage(message, now());
    for (const target of targets) {
      const { ip, port } = splitAddress(target);
      this.#socket.send(bytes, port, ip, ignoreSendError);
      onTraffic("sent", bytes.length);
    }
  }

  close(): void {
    this.#isOpen = false;
    this.#socket.close();
  }

  #receive(bytes: Buffer, { address, port }: RemoteInfo): void {
    const { now, onMessage, onMalformed, onDrop, onTraffic } = this.#options;
    onTraffic("heard", bytes.length);
    const source = `${address}:${port}`;
    if (!this.#filter.accepts(source, now())) return onDrop?.();
    decodeMessage(bytes, now()).match(
      onMessage,
      ({ detail }) => {
        this.#filter.recordMalformed(source);
        onMalformed(detail);
      },
    );
  }
}

/** Splits an `ip:port` address. */
export function splitAddress(address: string): { ip: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    ip: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/** Messages are repeated, so an unreachable peer gets a later one. */
function ignoreSendError(): void {}
