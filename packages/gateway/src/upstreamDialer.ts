import type { Socket } from "node:net";
import type {
  Milliseconds,
  Timer,
  TimerSubscription,
  UpstreamId,
} from "@wasabivane/common";
import type { DirectLinks, LinkEnd, Upstream } from "@wasabivane/admission";
import type { Result } from "neverthrow";
import type { buildConnector } from "undici";
import type { RelayedSocket } from "./relayedSocket.ts";
import type { RelayError } from "./relayClient.ts";

/** Time after which a connection is usually established. */
const USUAL_CONNECT_MS: Milliseconds = 100;
/** Interval at which broken links are tried again. */
const PROBE_INTERVAL_MS: Milliseconds = 1_000;

type Connector = buildConnector.connector;
type ConnectorOptions = Parameters<Connector>[0];
type ConnectorCallback = Parameters<Connector>[1];

/** Options of an {@link UpstreamDialer}. */
export interface UpstreamDialerOptions {
  readonly timer: Timer;
  readonly links: DirectLinks;
  /** Connects from this host. */
  readonly connectDirectly: Connector;
  /** Connects through a peer. */
  readonly openRelay: (
    upstream: UpstreamId,
  ) => Promise<Result<RelayedSocket, RelayError>>;
  /** Returns the upstream at `ip:port`. */
  readonly findUpstream: (address: string) => Upstream | undefined;
  /** Called when links break or work again. */
  readonly onLinkChange: (change: LinkChange) => void;
}

/** A change of the link to an upstream. */
export interface LinkChange extends LinkEnd {
  readonly isBroken: boolean;
  /** Whether all links to the service have changed. */
  readonly isAll: boolean;
}

/**
 * Connects to upstreams, through a peer where this host's own link is broken.
 *
 * A connection that takes long is tried through a peer at the same time, and the
 * first one established is used. The peer also tells a broken link from a lost
 * upstream, which it reaches no more than this host.
 */
export class UpstreamDialer {
  readonly #options: UpstreamDialerOptions;
  #probedAt: Milliseconds = -Infinity;

  constructor(options: UpstreamDialerOptions) {
    this.#options = options;
  }

  /** Connects to an upstream; the HTTP library's connector. */
  readonly connector: Connector = (options, callback) => {
    const upstream = this.#options.findUpstream(addressOf(options));
    if (upstream === undefined) {
      return this.#options.connectDirectly(options, callback);
    }
    new Dial(this.#options, { upstream, options, callback }).start();
  };

  /** Tries one broken link again, at intervals. */
  tick(findUpstream: (upstream: UpstreamId) => Upstream | undefined): void {
    const { timer, links } = this.#options;
    const now = timer.now();
    if (now - this.#probedAt < PROBE_INTERVAL_MS) return;
    this.#probedAt = now;
    const upstream = links.broken(now).map(findUpstream)
      .find((candidate) => candidate !== undefined);
    if (upstream !== undefined) this.#probe(upstream);
  }

  #probe(upstream: Upstream): void {
    const { links, timer, connectDirectly, onLinkChange } = this.#options;
    const [hostname = "", port = ""] = upstream.address.split(":");
    connectDirectly({ hostname, port, protocol: "http:" }, (error, socket) => {
      if (error !== null) return links.recordFailure(upstream, timer.now());
      socket.destroy();
      const isAll = links.isServiceBroken(upstream.service, timer.now());
      links.recordSuccess(upstream);
      onLinkChange({ ...upstream, isBroken: false, isAll });
    });
  }
}

/** One connection that is being established. */
class Dial {
  readonly #options: UpstreamDialerOptions;
  readonly #upstream: Upstream;
  readonly #connectorOptions: ConnectorOptions;
  readonly #callback: ConnectorCallback;
  #isDone = false;
  #relayTimer: TimerSubscription | undefined;
  #directError: Error | undefined;
  /** Whether this host has failed to connect. */
  #hasFailed = false;
  #relay: "unused" | "opening" | "open" | "failed" = "unused";

  constructor(
    dialerOptions: UpstreamDialerOptions,
    { upstream, options, callback }: {
      upstream: Upstream;
      options: ConnectorOptions;
      callback: ConnectorCallback;
    },
  ) {
    this.#options = dialerOptions;
    this.#upstream = upstream;
    this.#connectorOptions = options;
    this.#callback = callback;
  }

  start(): void {
    const { links, timer } = this.#options;
    if (links.isBroken(this.#upstream, timer.now())) {
      this.#directError = new Error("The link to the upstream is broken");
      return this.#startRelay();
    }
    this.#relayTimer = timer.after(
      USUAL_CONNECT_MS,
      () => this.#startRelay(),
    );
    this.#startDirect();
  }

  #startDirect(): void {
    const { connectDirectly, links } = this.#options;
    connectDirectly(this.#connectorOptions, (error, socket) => {
      if (error === null) {
        links.recordSuccess(this.#upstream);
        return this.#succeed(socket);
      }
      this.#directError = error;
      this.#hasFailed = true;
      if (this.#relay === "open") this.#recordBrokenLink();
      this.#startRelay();
      this.#failIfOver();
    });
  }

  #startRelay(): void {
    if (this.#isDone || this.#relay !== "unused") return;
    this.#relay = "opening";
    void this.#options.openRelay(this.#upstream.upstream).then((opened) =>
      opened.match(
        (socket) => {
          this.#relay = "open";
          if (this.#hasFailed) this.#recordBrokenLink();
          this.#succeed(socket as unknown as Socket);
        },
        () => {
          this.#relay = "failed";
          this.#failIfOver();
        },
      )
    );
  }

  /** The upstream is reached by a peer but not by this host. */
  #recordBrokenLink(): void {
    const { links, timer, onLinkChange } = this.#options;
    const now = timer.now();
    const { service } = this.#upstream;
    const wasAll = links.isServiceBroken(service, now);
    const wasBroken = links.isBroken(this.#upstream, now);
    links.recordFailure(this.#upstream, now);
    const isAll = links.isServiceBroken(service, now);
    if (wasBroken && wasAll === isAll) return;
    onLinkChange({ ...this.#upstream, isBroken: true, isAll });
  }

  #succeed(socket: Socket): void {
    if (this.#isDone) return void socket.destroy();
    this.#finish();
    this.#callback(null, socket);
  }

  #failIfOver(): void {
    const isOver = this.#directError !== undefined && this.#relay === "failed";
    if (this.#isDone || !isOver) return;
    this.#finish();
    this.#callback(this.#directError!, null);
  }

  #finish(): void {
    this.#isDone = true;
    this.#relayTimer?.cancel();
  }
}

function addressOf({ hostname, port }: ConnectorOptions): string {
  return `${hostname}:${port}`;
}
