import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";
import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import type { GatewayContext } from "./gatewayContext.ts";
import { splitAddress } from "./peerChannel.ts";
import type { PeerDirectory } from "./peerDirectory.ts";
import { RelayClient } from "./relayClient.ts";
import { RelayServer } from "./relayServer.ts";
import { type LinkChange, UpstreamDialer } from "./upstreamDialer.ts";
import { UpstreamProbe, type UpstreamState } from "./upstreamProbe.ts";

/** Options of {@link UpstreamLinks}. */
export interface UpstreamLinksOptions {
  readonly context: GatewayContext;
  readonly peers: PeerDirectory;
  /** Time for a connection to an upstream, from this host or a peer. */
  readonly connectTimeout: Milliseconds | undefined;
  /** Event-loop lag above which this host does not relay. */
  readonly maximumLag: Milliseconds | undefined;
}

/**
 * Keeps this host connected with the upstreams: over its own links, through
 * peers where these are broken, and as a relay for peers whose links are.
 */
export class UpstreamLinks {
  readonly #options: UpstreamLinksOptions;
  readonly #relayClient: RelayClient;
  readonly #relayServer: RelayServer;
  readonly #dialer: UpstreamDialer;
  readonly #probe: UpstreamProbe;

  constructor(options: UpstreamLinksOptions) {
    this.#options = options;
    this.#relayClient = this.#createRelayClient();
    this.#relayServer = this.#createRelayServer();
    this.#dialer = this.#createDialer();
    this.#probe = this.#createProbe();
    options.context.connections.setConnector(this.#dialer.connector);
  }

  /** Number of open relays for peers. */
  get relayCount(): number {
    return this.#relayServer.size;
  }

  /** Handles a peer's request for a relay. */
  handleUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    this.#relayServer.handleUpgrade(request, socket, head);
  }

  /** See {@link GatewayContext.announceBackoff}. */
  announceBackoff(upstream: UpstreamId, span: Milliseconds): void {
    this.#relayClient.announceBackoff(upstream, span);
    this.#relayServer.announceBackoff(upstream, span);
  }

  /** Finds out whether an upstream accepts connections. */
  probe(upstream: Upstream): Promise<UpstreamState> {
    return this.#probe.probe(upstream);
  }

  /** See {@link UpstreamProbe.isRefusing}. */
  isRefusing(upstream: Upstream): Promise<boolean> {
    return this.#probe.isRefusing(upstream);
  }

  /** Tries broken links again, at intervals. */
  tick(): void {
    const { directory } = this.#options.context;
    this.#dialer.tick((upstream) => directory.get(upstream));
  }

  /** Relays nothing more, and asks peers to close their relays. */
  stop(): void {
    this.#relayServer.stop();
  }

  /** Cuts all relays for peers. */
  close(): void {
    this.#relayServer.close();
  }

  #createRelayClient(): RelayClient {
    const { context, peers, connectTimeout } = this.#options;
    const { failureDomain, timer, random, directory, placementClient } =
      context;
    return new RelayClient({
      failureDomain,
      timer,
      random,
      connectTimeout,
      peers: () => peers.relayPeers(),
      onStopping: (upstream) => this.#closeIdleConnections(upstream),
      onBackoff: (id, span) => {
        const upstream = directory.get(id);
        if (upstream === undefined) return;
        placementClient.recordBackoff(upstream, span, timer.now());
      },
    });
  }

  #createRelayServer(): RelayServer {
    const { context, peers, connectTimeout, maximumLag } = this.#options;
    return new RelayServer({
      context,
      connectTimeout,
      maximumLag,
      isPeer: (ip) =>
        peers.aliveAddresses().some((address) =>
          splitAddress(address).ip === ip
        ),
      onUnreachable: (upstream) => this.#reportUnreachable(upstream),
    });
  }

  #createDialer(): UpstreamDialer {
    const { timer, directory, connections, directLinks } =
      this.#options.context;
    return new UpstreamDialer({
      timer,
      links: directLinks,
      connectDirectly: connections.directConnector,
      openRelay: (upstream) => this.#relayClient.open(upstream),
      findUpstream: (address) =>
        directory.all().find((upstream) => upstream.address === address),
      onLinkChange: (change) => this.#handleLinkChange(change),
    });
  }

  #createProbe(): UpstreamProbe {
    const {
      timer,
      random,
      directory,
      connections,
      upstreamStats,
      directLinks,
    } = this.#options.context;
    return new UpstreamProbe({
      timer,
      random,
      connectDirectly: connections.directConnector,
      openRelay: (upstream) => this.#relayClient.open(upstream),
      upstreams: () => directory.all(),
      isEjected: (upstream, now) =>
        upstreamStats.health.isEjected(upstream, now),
      isLinkBroken: (upstream, now) => directLinks.isBroken(upstream, now),
    });
  }

  #reportUnreachable({ upstream, service }: Upstream): void {
    const { placementClient, timer } = this.#options.context;
    placementClient.report({
      upstream,
      service,
      outcome: "unreachable",
      residence: 0,
    }, timer.now());
  }

  /**
   * Closes the connections that are idle: they no longer work if links are broken,
   * and go through peers without need if links work again.
   */
  #handleLinkChange({ upstream, service, isBroken, isAll }: LinkChange): void {
    const { directory, log, metrics } = this.#options.context;
    const event = isBroken ? "links_broken" : "links_restored";
    metrics.count(event);
    log.write(event, { upstream, service, all: isAll });
    if (!isAll) return this.#closeIdleConnections(upstream);
    for (const other of directory.of(service)) {
      this.#closeIdleConnections(other.upstream);
    }
  }

  #closeIdleConnections(id: UpstreamId): void {
    const { directory, connections } = this.#options.context;
    const upstream = directory.get(id);
    if (upstream !== undefined) connections.forget(upstream.address);
  }
}
