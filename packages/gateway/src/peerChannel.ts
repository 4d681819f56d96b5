import type { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import type { Address } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { openPort, type OpenPortOptions } from "./openPort.ts";
import {
  decodeMessage,
  encodeMessage,
  type PeerMessage,
} from "./peerMessage.ts";

/** The error for an address that a channel cannot bind to. */
export interface ChannelError {
  readonly kind: "cannot-bind";
  readonly detail: string;
}

/** Options of a {@link PeerChannel}. */
export interface PeerChannelOptions extends OpenPortOptions {
  readonly onMessage: (message: PeerMessage) => void;
  readonly onMalformed: (detail: string) => void;
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
  #isClosed = false;

  constructor(options: PeerChannelOptions) {
    this.#options = options;
    this.#socket.on("message", (bytes) => this.#receive(bytes));
  }

  async open(address: string): Promise<Result<void, ChannelError>> {
    const { ip, port } = splitAddress(address);
    this.#socket.on(
      "error",
      (error) => this.#options.onMalformed(error.message),
    );
    const error = await openPort(() =>
      new Promise((resolve) => {
        this.#socket.once("error", resolve);
        this.#socket.bind(port, ip, () => {
          this.#socket.off("error", resolve);
          resolve(undefined);
        });
      }), this.#options);
    return error === undefined
      ? ok(undefined)
      : err({ kind: "cannot-bind", detail: error.message });
  }

  send(message: PeerMessage, targets: readonly Address[]): void {
    if (this.#isClosed) return;
    const { timer, onTraffic } = this.#options;
    const bytes = encodeMessage(message, timer.now());
    for (const target of targets) {
      const { ip, port } = splitAddress(target);
      this.#socket.send(bytes, port, ip, ignoreSendError);
      onTraffic("sent", bytes.length);
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#socket.close();
  }

  #receive(bytes: Buffer): void {
    const { timer, onMessage, onMalformed, onTraffic } = this.#options;
    onTraffic("heard", bytes.length);
    decodeMessage(bytes, timer.now()).match(
      onMessage,
      ({ detail }) => onMalformed(detail),
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
