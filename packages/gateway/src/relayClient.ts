import type {
  Address,
  FailureDomain,
  HostId,
  Milliseconds,
  Random,
  Timer,
  UpstreamId,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { WebSocket } from "ws";
import {
  decodeRelayMessage,
  encodeRelayMessage,
  RELAY_LIMITS,
  relayPathOf,
  STATUS_UNREACHABLE,
} from "./relayMessage.ts";
import { RelayedSocket } from "./relayedSocket.ts";
import { DEFAULT_CONNECT_TIMEOUT_MS } from "./watchedConnector.ts";

/** Peers that are asked for one relay, one after the other. */
const MAXIMUM_PEERS = 3;
/** Time for a peer to accept, besides that to connect to the upstream. */
const ACCEPT_TIMEOUT_MS: Milliseconds = 100;
/** Time for which a peer that could not relay is not asked again. */
const REFUSED_MS: Milliseconds = 1_000;

/** A peer that may relay. */
export interface RelayPeer {
  readonly host: HostId;
  /** `ip:port`. */
  readonly address: Address;
  readonly failureDomain: FailureDomain;
}

/** The error if no peer could relay. */
export type RelayError =
  /** None was willing to, or there is none. */
  | { readonly kind: "no-relay" }
  /** A peer could not reach the upstream either. */
  | { readonly kind: "unreachable" };

/** Options of a {@link RelayClient}. */
export interface RelayClientOptions {
  readonly failureDomain: FailureDomain;
  readonly timer: Timer;
  readonly random: Random;
  /** Time for a connection of a peer to an upstream. */
  readonly connectTimeout?: Milliseconds | undefined;
  /** Live peers. */
  readonly peers: () => readonly RelayPeer[];
  /** Called when a peer needs the relays to an upstream closed. */
  readonly onStopping: (upstream: UpstreamId) => void;
  /** Called when an upstream wants no requests from a peer that relays. */
  readonly onBackoff: (upstream: UpstreamId, span: Milliseconds) => void;
}

/**
 * Opens connections to upstreams through peers that reach them. Peers of this
 * host's failure domain are asked first, as traffic between domains is charged.
 */
export class RelayClient {
  readonly #options: RelayClientOptions;
  readonly #refusedUntil = new Map<HostId, Milliseconds>();
  readonly #sockets = new Map<UpstreamId, Set<RelayedSocket>>();

  constructor(options: RelayClientOptions) {
    this.#options = options;
  }

  /** Opens a connection to an upstream through the first peer that can. */
  async open(
    upstream: UpstreamId,
  ): Promise<Result<RelayedSocket, RelayError>> {
    for (const peer of this.#selectPeers()) {
      const opened = await this.#openAt(peer, upstream);
      if (opened.isOk() || opened.error.kind === "unreachable") return opened;
    }
    return err({ kind: "no-relay" });
  }

  /**
   * Tells the peers that relay to an upstream for how long it wants no requests
   * from them.
   */
  announceBackoff(upstream: UpstreamId, span: Milliseconds): void {
    const text = encodeRelayMessage({ kind: "backoff", span });
    for (const socket of this.#sockets.get(upstream) ?? []) {
      socket.sendControl(text);
    }
  }

  #selectPeers(): RelayPeer[] {
    const { peers, timer, random, failureDomain } = this.#options;
    const now = timer.now();
    return peers()
      .filter(({ host }) => (this.#refusedUntil.get(host) ?? 0) <= now)
      .map((peer) => ({
        peer,
        order: random.float() + (peer.failureDomain === failureDomain ? 0 : 1),
      }))
      .toSorted((left, right) => left.order - right.order)
      .slice(0, MAXIMUM_PEERS)
      .map(({ peer }) => peer);
  }

  #openAt(
    { host, address }: RelayPeer,
    upstream: UpstreamId,
  ): Promise<Result<RelayedSocket, RelayError>> {
    const { timer, connectTimeout = DEFAULT_CONNECT_TIMEOUT_MS } =
      this.#options;
    const webSocket = new WebSocket(`ws://${address}${relayPathOf(upstream)}`, {
      ...RELAY_LIMITS,
      perMessageDeflate: false,
    });
    return new Promise((resolve) => {
      const settle = (result: Result<RelayedSocket, RelayError>): void => {
        timeout.cancel();
        resolve(result);
      };
      const fail = (): void => {
        this.#refusedUntil.set(host, timer.now() + REFUSED_MS);
        settle(err({ kind: "no-relay" }));
      };
      const timeout = timer.after(
        connectTimeout + ACCEPT_TIMEOUT_MS,
        () => webSocket.terminate(),
      );
      webSocket.on("error", () => {});
      webSocket.once("close", fail);
      webSocket.once("open", () => {
        webSocket.off("close", fail);
        settle(ok(this.#wrap(webSocket, upstream)));
      });
      webSocket.once("unexpected-response", (request, { statusCode }) => {
        webSocket.off("close", fail);
        if (statusCode === STATUS_UNREACHABLE) {
          settle(err({ kind: "unreachable" }));
        } else fail();
        request.destroy();
      });
    });
  }

  #wrap(webSocket: WebSocket, upstream: UpstreamId): RelayedSocket {
    const { onStopping, onBackoff } = this.#options;
    const socket = new RelayedSocket(webSocket, {
      onControl: (text) => {
        const message = decodeRelayMessage(text);
        if (message?.kind === "stopping") onStopping(upstream);
        if (message?.kind === "backoff") onBackoff(upstream, message.span);
      },
    });
    const sockets = this.#sockets.get(upstream) ?? new Set();
    this.#sockets.set(upstream, sockets.add(socket));
    socket.once("close", () => {
      sockets.delete(socket);
      if (sockets.size === 0) this.#sockets.delete(upstream);
    });
    return socket;
  }
}
