import type { Server } from "node:http";
import type { Address, MemoryBudget, Milliseconds } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import {
  metricsEndpoint,
  type OperatorData,
  readinessEndpoint,
  snapshotEndpoint,
} from "./operatorEndpoints.ts";
import {
  type Endpoint,
  serveEndpoint,
  type UpgradeListener,
} from "./httpEndpoint.ts";
import { openPort, type OpenPortOptions } from "./openPort.ts";

/** Time until a port for metrics that could not be opened is tried again. */
const METRICS_RETRY_MS: Milliseconds = 5_000;

/** Listen addresses for peers and operators, each `ip:port`. */
export interface OperatorAddresses {
  readonly readiness: string;
  /** UDP port for peer messages, and TCP port for store snapshots and relays. */
  readonly peers: Address;
  /** `undefined` to serve no metrics. */
  readonly metrics?: { readonly address: string; readonly path: string };
}

/** Options of {@link OperatorServers}. */
export interface OperatorServersOptions extends OpenPortOptions {
  readonly data: OperatorData;
  /** Bounds the snapshots that peers have not read yet. */
  readonly memory: MemoryBudget;
  readonly addresses: OperatorAddresses;
  readonly readinessPath: string;
  /** Handles upgrade requests of peers. */
  readonly onPeerUpgrade: UpgradeListener;
  /** Called for each connection that is closed for a limit. */
  readonly onDrop: () => void;
}

/** Runs the HTTP servers for readiness, store snapshots and metrics. */
export class OperatorServers {
  readonly #options: OperatorServersOptions;
  readonly #servers: Server[] = [];
  #isClosed = false;

  constructor(options: OperatorServersOptions) {
    this.#options = options;
  }

  /** Opens all ports; a host whose port for metrics is taken serves without. */
  async open(): Promise<Result<void, ListenError>> {
    const { data, memory, addresses, readinessPath, onPeerUpgrade, onDrop } =
      this.#options;
    const endpoints: {
      endpoint: Endpoint;
      address: string;
      onUpgrade?: UpgradeListener;
    }[] = [
      {
        endpoint: readinessEndpoint(data, readinessPath),
        address: addresses.readiness,
      },
      {
        endpoint: snapshotEndpoint(data, memory),
        address: addresses.peers,
        onUpgrade: onPeerUpgrade,
      },
    ];
    for (const { endpoint, address, onUpgrade } of endpoints) {
      const server = await openPort(
        () => serveEndpoint({ endpoint, address }, { onUpgrade, onDrop }),
        this.#options,
      );
      if (server.isErr()) return err(server.error);
      this.#servers.push(server.value);
    }
    await this.#openMetrics();
    return ok(undefined);
  }

  async #openMetrics(): Promise<void> {
    const { data, addresses: { metrics }, timer, log } = this.#options;
    if (metrics === undefined || this.#isClosed) return;
    const { address, path } = metrics;
    const endpoint = metricsEndpoint(data, path);
    const server = await serveEndpoint({ endpoint, address }, {
      onDrop: this.#options.onDrop,
    });
    if (server.isOk()) return void this.#servers.push(server.value);
    log.write("metrics_unavailable", { detail: server.error.detail });
    timer.after(METRICS_RETRY_MS, () => void this.#openMetrics());
  }

  close(): void {
    this.#isClosed = true;
    for (const server of this.#servers.splice(0)) server.close();
  }
}
