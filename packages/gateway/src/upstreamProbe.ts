import type {
  Address,
  Milliseconds,
  Random,
  Timer,
  UpstreamId,
} from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import type { Result } from "neverthrow";
import type { buildConnector } from "undici";
import type { RelayError } from "./relayClient.ts";
import type { RelayedSocket } from "./relayedSocket.ts";

/** Other upstreams that are tried to learn whether this host has links at all. */
const CONTROLS = 3;
/** Error code if nothing listens at an address. */
const REFUSED = "ECONNREFUSED";

/** Whether an upstream accepts connections. */
export type UpstreamState = "up" | "down" | "unknown";

/** Options of an {@link UpstreamProbe}. */
export interface UpstreamProbeOptions {
  readonly timer: Timer;
  readonly random: Random;
  /** Connects from this host. */
  readonly connectDirectly: buildConnector.connector;
  /** Connects through a peer. */
  readonly openRelay: (
    upstream: UpstreamId,
  ) => Promise<Result<RelayedSocket, RelayError>>;
  /** Returns the upstreams that are in use. */
  readonly upstreams: () => readonly Upstream[];
  readonly isEjected: (upstream: UpstreamId, now: Milliseconds) => boolean;
  /** Whether this host connects to an upstream through peers. */
  readonly isLinkBroken: (upstream: Upstream, now: Milliseconds) => boolean;
}

/**
 * Finds out whether an upstream accepts connections. A failed connection shows
 * that it does not only if this host reaches another upstream, or if a peer
 * fails to connect as well.
 */
export class UpstreamProbe {
  readonly #options: UpstreamProbeOptions;

  constructor(options: UpstreamProbeOptions) {
    this.#options = options;
  }

  async probe(upstream: Upstream): Promise<UpstreamState> {
    if (await this.#connects(upstream)) return "up";
    if (await this.#reachesOthers(upstream)) return "down";
    return this.#probeThroughPeer(upstream);
  }

  /**
   * Whether nothing listens at an upstream's address any more. A host that cannot
   * connect for another reason does not know, so this is false then.
   */
  async isRefusing(upstream: Upstream): Promise<boolean> {
    const { isLinkBroken, timer } = this.#options;
    if (isLinkBroken(upstream, timer.now())) {
      return await this.#probeThroughPeer(upstream) === "down";
    }
    const error = await this.#connect(upstream.address);
    return (error as NodeJS.ErrnoException | null)?.code === REFUSED;
  }

  async #probeThroughPeer({ upstream }: Upstream): Promise<UpstreamState> {
    const relay = await this.#options.openRelay(upstream);
    return relay.match(
      (socket) => {
        socket.destroy();
        return "up";
      },
      ({ kind }) => kind === "unreachable" ? "down" : "unknown",
    );
  }

  async #reachesOthers(upstream: Upstream): Promise<boolean> {
    const controls = this.#selectControls(upstream);
    const connected = await Promise.all(
      controls.map((control) => this.#connects(control)),
    );
    return connected.includes(true);
  }

  /** Prefers upstreams that have not failed, as several may be down. */
  #selectControls({ upstream }: Upstream): Upstream[] {
    const { upstreams, isEjected, timer, random } = this.#options;
    const now = timer.now();
    return upstreams()
      .filter((other) => other.upstream !== upstream)
      .map((other) => ({
        other,
        order: random.float() + (isEjected(other.upstream, now) ? 1 : 0),
      }))
      .toSorted((left, right) => left.order - right.order)
      .slice(0, CONTROLS)
      .map(({ other }) => other);
  }

  async #connects({ address }: Upstream): Promise<boolean> {
    return await this.#connect(address) === null;
  }

  /** Connects once; returns the error, if any. */
  #connect(address: Address): Promise<Error | null> {
    const [hostname = "", port = ""] = address.split(":");
    return new Promise((resolve) =>
      this.#options.connectDirectly(
        { hostname, port, protocol: "http:" },
        (error, socket) => {
          socket?.destroy();
          resolve(error);
        },
      )
    );
  }
}
