import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { connect, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import {
  asId,
  ByteCollector,
  hasEndedNormally,
  type Milliseconds,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import { type WebSocket, WebSocketServer } from "ws";
import type { GatewayContext } from "./gatewayContext.ts";
import { afterFreshPoll } from "./afterFreshPoll.ts";
import { splitAddress } from "./peerChannel.ts";
import {
  decodeRelayMessage,
  encodeRelayMessage,
  RELAY_LIMITS,
  RELAY_PATH,
  type RelayMessage,
  STATUS_UNREACHABLE,
} from "./relayMessage.ts";
import { ResponseLease } from "./responseLease.ts";
import { DEFAULT_CONNECT_TIMEOUT_MS } from "./watchedConnector.ts";
import { UPSTREAM_ENDED } from "./relayedSocket.ts";

/** Relays at the same time, which bounds the work that a host takes over. */
const MAXIMUM_RELAYS = 128;
const DEFAULT_MAXIMUM_LAG_MS: Milliseconds = 20;
/**
 * Bytes on their way to peers above which upstreams are not read: of one relay,
 * and of all of them.
 */
const MAXIMUM_PENDING_BYTES = 256 * 1_024;
const MAXIMUM_PENDING_OF_ALL_BYTES = 4 * 1_024 * 1_024;
/** Close code of a relay whose connection to the upstream failed. */
const UPSTREAM_FAILED = 1011;

/** Options of a {@link RelayServer}. */
export interface RelayServerOptions {
  readonly context: GatewayContext;
  /** Time for a connection to an upstream. */
  readonly connectTimeout?: Milliseconds | undefined;
  /** Event-loop lag above which a host has no time for the work of others. */
  readonly maximumLag?: Milliseconds | undefined;
  /** Whether a live peer has this IP address. */
  readonly isPeer: (ip: string) => boolean;
  /** Called when a connection to an upstream fails. */
  readonly onUnreachable: (upstream: Upstream) => void;
}

interface Relay {
  readonly upstream: Upstream;
  readonly webSocket: WebSocket;
}

/**
 * Connects peers that are cut off from an upstream with it, byte for byte. The
 * peer keeps the request: it decides, counts and retries, while this host only
 * opens a connection and passes on how it ends. Relays are not relayed further.
 */
export class RelayServer {
  readonly #options: RelayServerOptions;
  readonly #webSockets = new WebSocketServer({
    noServer: true,
    ...RELAY_LIMITS,
    perMessageDeflate: false,
  });
  readonly #relays = new Set<Relay>();
  #pending = 0;
  #isStopping = false;

  constructor(options: RelayServerOptions) {
    this.#options = options;
  }

  /** Number of open relays. */
  get size(): number {
    return this.#relays.size;
  }

  /** Handles a request to upgrade a connection of the peer port. */
  handleUpgrade(
    request: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ): void {
    socket.on("error", () => {});
    const [path, query] = (request.url ?? "").split("?", 2);
    const id = new URLSearchParams(query).get("upstream") ?? "";
    const { directory, metrics } = this.#options.context;
    const upstream = directory.get(asId<UpstreamId>(id));
    const isAccepted = path === RELAY_PATH && upstream !== undefined &&
      this.#canServe(upstream, request.socket.remoteAddress ?? "");
    if (!isAccepted) {
      metrics.count("relays_refused");
      return refuse(socket, "503 Service Unavailable");
    }
    this.#pending++;
    this.#connect(upstream, (connection) => {
      this.#pending--;
      if (connection === undefined) {
        return refuse(socket, `${STATUS_UNREACHABLE} Bad Gateway`);
      }
      if (socket.destroyed) return void connection.destroy();
      if (this.#isStopping) {
        connection.destroy();
        return refuse(socket, "503 Service Unavailable");
      }
      socket.once("close", () => connection.destroy());
      this.#webSockets.handleUpgrade(request, socket, head, (webSocket) => {
        this.#relay(upstream, connection, webSocket);
      });
    });
  }

  /** Tells the peers whose relays go to an upstream to back off from it. */
  announceBackoff(upstream: UpstreamId, span: Milliseconds): void {
    this.#announce({ kind: "backoff", span }, upstream);
  }

  /** Refuses new relays, and asks the peers to close the open ones. */
  stop(): void {
    this.#isStopping = true;
    this.#announce({ kind: "stopping" });
  }

  /** Cuts all relays. */
  close(): void {
    this.#isStopping = true;
    for (const { webSocket } of this.#relays) webSocket.terminate();
    this.#webSockets.close();
  }

  #canServe({ upstream, service }: Upstream, ip: string): boolean {
    const { isPeer, context: { placementClient, timer } } = this.#options;
    return !this.#isStopping && isPeer(ip) && !this.#isBusy() &&
      !this.#isCutOff(service) &&
      placementClient.isUsable(upstream, timer.now());
  }

  #isBusy(): boolean {
    const { context, maximumLag = DEFAULT_MAXIMUM_LAG_MS } = this.#options;
    const { lag, shedding } = context;
    return lag.sustained > maximumLag || shedding.share > 0 ||
      this.#relays.size + this.#pending >= MAXIMUM_RELAYS;
  }

  #isCutOff(service: ServiceId): boolean {
    const { upstreamStats, directLinks, timer } = this.#options.context;
    const now = timer.now();
    return upstreamStats.links.isCutOff(now) ||
      directLinks.isServiceBroken(service, now);
  }

  #connect(
    upstream: Upstream,
    callback: (connection: Socket | undefined) => void,
  ): void {
    const { context, connectTimeout = DEFAULT_CONNECT_TIMEOUT_MS } =
      this.#options;
    const { timer } = context;
    const { ip, port } = splitAddress(upstream.address);
    const connection = connect({ host: ip, port, noDelay: true });
    let isDone = false;
    const finish = (isConnected: boolean): void => {
      if (isDone) return;
      isDone = true;
      timeout.cancel();
      if (isConnected) return callback(connection);
      connection.destroy();
      this.#options.onUnreachable(upstream);
      callback(undefined);
    };
    const timeout = timer.after(connectTimeout, () => finish(false));
    connection.once("connect", () => finish(true));
    connection.on("error", () => finish(false));
  }

  #relay(upstream: Upstream, connection: Socket, webSocket: WebSocket): void {
    const relay = { upstream, webSocket };
    this.#relays.add(relay);
    this.#options.context.metrics.count("relays_served");
    this.#passToPeer(connection, webSocket);
    this.#passToUpstream(relay, connection);
    webSocket.on("error", () => connection.destroy());
    webSocket.on("close", () => {
      this.#relays.delete(relay);
      connection.destroy();
    });
  }

  /** Bytes on their way to the peer of one relay above which it is not sent more. */
  get #pendingLimit(): number {
    const share = MAXIMUM_PENDING_OF_ALL_BYTES / Math.max(1, this.size);
    return Math.min(MAXIMUM_PENDING_BYTES, share);
  }

  #passToPeer(connection: Socket, webSocket: WebSocket): void {
    let isEnded = false;
    connection.on("data", (chunk) => {
      webSocket.send(chunk, () => {
        if (webSocket.bufferedAmount < this.#pendingLimit) connection.resume();
      });
      if (webSocket.bufferedAmount >= this.#pendingLimit) connection.pause();
    });
    connection.prependListener("end", () => {
      isEnded = hasEndedNormally(connection);
    });
    connection.on("close", () => {
      webSocket.close(isEnded ? UPSTREAM_ENDED : UPSTREAM_FAILED);
    });
  }

  #passToUpstream(relay: Relay, connection: Socket): void {
    const { webSocket } = relay;
    const { metrics, timer, memory } = this.#options.context;
    const received = new ByteCollector();
    const lease = new ResponseLease(memory.responses);
    const pendingBytes = (): number =>
      received.length + connection.writableLength;
    const passOn = (): void => {
      const bytes = received.take();
      // The peer may have closed the relay behind these bytes.
      if (webSocket.readyState !== webSocket.OPEN) return;
      if (!connection.write(bytes)) webSocket.pause();
      lease.hold(pendingBytes());
    };
    connection.on("drain", () => {
      lease.hold(pendingBytes());
      webSocket.resume();
    });
    webSocket.on("message", (data, isBinary) => {
      if (!isBinary) return this.#receive(relay, String(data));
      const isFirst = received.length === 0;
      received.add(data as Buffer);
      if (!lease.hold(pendingBytes())) {
        metrics.count("relays_cut_memory");
        return webSocket.terminate();
      }
      if (isFirst) afterFreshPoll(timer, passOn);
    });
    webSocket.on("close", () => lease.release());
  }

  /** The upstream has answered this host, so it has to back off as well. */
  #receive({ upstream }: Relay, text: string): void {
    const message = decodeRelayMessage(text);
    if (message?.kind !== "backoff") return;
    const { placementClient, timer } = this.#options.context;
    placementClient.recordBackoff(upstream, message.span, timer.now());
    this.announceBackoff(upstream.upstream, message.span);
  }

  #announce(message: RelayMessage, only?: UpstreamId): void {
    const text = encodeRelayMessage(message);
    for (const { upstream, webSocket } of this.#relays) {
      if (only !== undefined && upstream.upstream !== only) continue;
      webSocket.send(text, () => {});
    }
  }
}

function refuse(socket: Duplex, status: string): void {
  socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\n\r\n`);
}
