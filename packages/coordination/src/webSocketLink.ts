import type { Buffer } from "node:buffer";
import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server,
} from "node:http";
import {
  createServer as createHttpsServer,
  type Server as SecureServer,
} from "node:https";
import type { AddressInfo } from "node:net";
import type { SecureContextOptions, TLSSocket } from "node:tls";
import {
  type HostId,
  type Incarnation,
  type Metrics,
  PeerLink,
  type PeerListener,
  type PeerMessage,
  type Random,
  type Timer,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { type WebSocket, WebSocketServer } from "ws";
import { InboundConnection } from "./inboundConnection.ts";
import type { LinkIdentity } from "./linkIdentity.ts";
import { LinkSubscriptions } from "./linkSubscriptions.ts";
import { channelBindingOf, OutboundConnection } from "./outboundConnection.ts";
import { MAX_FRAME_BYTES, PeerCodec } from "./peerMessages.ts";

/** Dependencies and settings of a {@link WebSocketLink}. */
export interface WebSocketLinkOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly sharedSecrets: readonly string[];
  readonly secureContext?: SecureContextOptions;
  readonly addresses?: ReadonlyMap<HostId, string>;
}

/** Why a link could not start listening. */
export interface ListenError {
  readonly kind: "cannot-listen";
  readonly detail: string;
}

/**
 * Sends peer messages over WebSockets. Each host dials the peers that it sends
 * to; a connection carries messages in one direction only, so simultaneous
 * dials need no tie-breaking.
 */
export class WebSocketLink extends PeerLink {
  override readonly self: HostId;
  readonly #options: WebSocketLinkOptions;
  readonly #codec = new PeerCodec();
  readonly #subscriptions = new LinkSubscriptions();
  readonly #outbound = new Map<HostId, OutboundConnection>();
  readonly #inbound = new Set<WebSocket>();
  readonly #identity: LinkIdentity;
  #addresses: ReadonlyMap<HostId, string>;
  #sharedSecrets: readonly string[];
  #secureContext: SecureContextOptions | undefined;
  #server: Server | SecureServer | undefined;

  constructor(options: WebSocketLinkOptions) {
    super();
    this.self = options.host;
    this.#options = options;
    this.#addresses = options.addresses ?? new Map();
    this.#sharedSecrets = options.sharedSecrets;
    this.#secureContext = options.secureContext;
    this.#identity = {
      host: options.host,
      incarnation: options.incarnation,
      random: options.random,
      sharedSecrets: () => this.#sharedSecrets,
      secureContext: () => this.#secureContext,
    };
  }

  /** Starts listening and resolves with the port; port 0 selects a free one. */
  listen(
    options: { address: string; port: number },
  ): Promise<Result<number, ListenError>> {
    const server = this.#secureContext === undefined
      ? createHttpServer()
      : createHttpsServer({ ...this.#secureContext, requestCert: true });
    this.#server = server;
    const sockets = new WebSocketServer({
      server,
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
    sockets.on("error", () => {});
    sockets.on(
      "connection",
      (socket, request) => this.#accept(socket, request),
    );
    return new Promise((resolve) => {
      server.once("error", (error) => {
        resolve(err({ kind: "cannot-listen", detail: String(error) }));
      });
      server.listen(options.port, options.address, () => {
        resolve(ok((server.address() as AddressInfo).port));
      });
    });
  }

  override send(to: HostId, message: PeerMessage): void {
    const frame = this.#codec.encode(message);
    if (frame.isErr()) {
      this.#options.metrics.count("peer_messages_unsendable", 1, {
        reason: frame.error.kind,
      });
      return;
    }
    this.#options.metrics.count("peer_bytes_sent", frame.value.length);
    this.#connectionTo(to)?.send(frame.value);
  }

  override subscribe(kind: string, listener: PeerListener): () => void {
    return this.#subscriptions.add(kind, listener);
  }

  /**
   * Replaces the peer addresses and closes connections to changed addresses.
   */
  setAddresses(addresses: ReadonlyMap<HostId, string>): void {
    this.#addresses = addresses;
    for (const [host, peer] of this.#outbound) {
      if (addresses.get(host) === peer.address) continue;
      peer.close();
      this.#outbound.delete(host);
    }
  }

  /** Replaces the shared secrets used by later handshakes. */
  setSharedSecrets(sharedSecrets: readonly string[]): void {
    this.#sharedSecrets = sharedSecrets;
  }

  /** Replaces the certificates used by later connections. */
  renewSecureContext(secureContext: SecureContextOptions): void {
    this.#secureContext = secureContext;
    const server = this.#server;
    if (server !== undefined && "setSecureContext" in server) {
      server.setSecureContext(secureContext);
    }
  }

  /** Closes every connection and stops listening. */
  close(): void {
    for (const peer of this.#outbound.values()) peer.close();
    for (const socket of this.#inbound) socket.terminate();
    this.#outbound.clear();
    this.#server?.close();
  }

  #connectionTo(host: HostId): OutboundConnection | undefined {
    const existing = this.#outbound.get(host);
    if (existing !== undefined) return existing;
    const address = this.#addresses.get(host);
    if (address === undefined) return undefined;
    const { timer, metrics } = this.#options;
    const peer = new OutboundConnection({
      peer: host,
      address,
      identity: this.#identity,
      timer,
      metrics,
      codec: this.#codec,
    });
    this.#outbound.set(host, peer);
    return peer;
  }

  #accept(socket: WebSocket, request: IncomingMessage): void {
    const { timer, metrics } = this.#options;
    this.#inbound.add(socket);
    socket.on("close", () => this.#inbound.delete(socket));
    const peer = new InboundConnection({
      socket,
      channelBinding: channelBindingOf(request.socket as TLSSocket),
      identity: this.#identity,
      timer,
      metrics,
      codec: this.#codec,
      deliver: (from, message) => this.#subscriptions.deliver(from, message),
    });
    socket.on("message", (data) => peer.receive(data as Buffer));
    peer.sendChallenge();
  }
}
