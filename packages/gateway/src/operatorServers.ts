import type { Server } from "node:http";
import type { Address } from "@wasabivane/common";
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

/** Listen addresses for peers and operators, each `ip:port`. */
export interface OperatorAddresses {
  readonly readiness: string;
  /** UDP port for peer messages, and TCP port for store snapshots and relays. */
  readonly peers: Address;
  /** `undefined` to serve no metrics. */
  readonly metrics?: { readonly address: string; readonly path: string };
}

/** Runs the HTTP servers for readiness, store snapshots and metrics. */
export class OperatorServers {
  readonly #data: OperatorData;
  readonly #addresses: OperatorAddresses;
  readonly #readinessPath: string;
  readonly #onPeerUpgrade: UpgradeListener;
  readonly #servers: Server[] = [];

  constructor(
    { data, addresses, readinessPath, onPeerUpgrade }: {
      data: OperatorData;
      addresses: OperatorAddresses;
      readinessPath: string;
      /** Handles upgrade requests of peers. */
      onPeerUpgrade: UpgradeListener;
    },
  ) {
    this.#onPeerUpgrade = onPeerUpgrade;
    this.#data = data;
    this.#addresses = addresses;
    this.#readinessPath = readinessPath;
  }

  async open(): Promise<Result<void, ListenError>> {
    const { readiness, peers, metrics } = this.#addresses;
    const endpoints: {
      endpoint: Endpoint;
      address: string;
      onUpgrade?: UpgradeListener;
    }[] = [
      {
        endpoint: readinessEndpoint(this.#data, this.#readinessPath),
        address: readiness,
      },
      {
        endpoint: snapshotEndpoint(this.#data),
        address: peers,
        onUpgrade: this.#onPeerUpgrade,
      },
    ];
    if (metrics !== undefined) {
      const { address, path } = metrics;
      endpoints.push({ endpoint: metricsEndpoint(this.#data, path), address });
    }
    for (const { endpoint, address, onUpgrade } of endpoints) {
      const server = await serveEndpoint(endpoint, address, onUpgrade);
      if (server.isErr()) return err(server.error);
      this.#servers.push(server.value);
    }
    return ok(undefined);
  }

  close(): void {
    for (const server of this.#servers.splice(0)) server.close();
  }
}
