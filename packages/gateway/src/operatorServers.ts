import type { Server } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import {
  metricsEndpoint,
  type OperatorData,
  readinessEndpoint,
  snapshotEndpoint,
} from "./operatorEndpoints.ts";
import { serveEndpoint } from "./httpEndpoint.ts";

/** Listen addresses for peers and operators, each `ip:port`. */
export interface OperatorAddresses {
  readonly readiness: string;
  /** UDP port for peer messages and TCP port for store snapshots. */
  readonly peers: string;
  /** `undefined` to serve no metrics. */
  readonly metrics?: { readonly address: string; readonly path: string };
}

/** Runs the HTTP servers for readiness, store snapshots and metrics. */
export class OperatorServers {
  readonly #data: OperatorData;
  readonly #addresses: OperatorAddresses;
  readonly #readinessPath: string;
  readonly #servers: Server[] = [];

  constructor(
    { data, addresses, readinessPath }: {
      data: OperatorData;
      addresses: OperatorAddresses;
      readinessPath: string;
    },
  ) {
    this.#data = data;
    this.#addresses = addresses;
    this.#readinessPath = readinessPath;
  }

  async open(): Promise<Result<void, ListenError>> {
    const { readiness, peers, metrics } = this.#addresses;
    const endpoints = [
      {
        endpoint: readinessEndpoint(this.#data, this.#readinessPath),
        address: readiness,
      },
      { endpoint: snapshotEndpoint(this.#data), address: peers },
    ];
    if (metrics !== undefined) {
      const { address, path } = metrics;
      endpoints.push({ endpoint: metricsEndpoint(this.#data, path), address });
    }
    for (const { endpoint, address } of endpoints) {
      const server = await serveEndpoint(endpoint, address);
      if (server.isErr()) return err(server.error);
      this.#servers.push(server.value);
    }
    return ok(undefined);
  }

  close(): void {
    for (const server of this.#servers.splice(0)) server.close();
  }
}
