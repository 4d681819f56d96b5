import type { Server } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import {
  beliefPage,
  metricsPage,
  readinessPage,
  type Shown,
} from "./operatorPages.ts";
import { listenWith } from "./pages.ts";

/** Where a host shows itself; all are `ip:port`. */
export interface OperatorAddresses {
  readonly readiness: string;
  /** What this host believes, for peers. */
  readonly peers: string;
  /** Counters and histograms; left out where nobody reads them. */
  readonly metrics?: { readonly address: string; readonly path: string };
}

/** The ports beside the callers' one. */
export class OperatorPorts {
  readonly #shown: Shown;
  readonly #addresses: OperatorAddresses;
  readonly #readyPath: string;
  readonly #servers: Server[] = [];

  constructor(
    { shown, addresses, readyPath }: {
      shown: Shown;
      addresses: OperatorAddresses;
      readyPath: string;
    },
  ) {
    this.#shown = shown;
    this.#addresses = addresses;
    this.#readyPath = readyPath;
  }

  async open(): Promise<Result<void, ListenError>> {
    const { readiness, peers, metrics } = this.#addresses;
    const pages = [
      {
        page: readinessPage(this.#shown, this.#readyPath),
        address: readiness,
      },
      { page: beliefPage(this.#shown), address: peers },
    ];
    if (metrics !== undefined) {
      const { address, path } = metrics;
      pages.push({ page: metricsPage(this.#shown, path), address });
    }
    for (const { page, address } of pages) {
      const server = await listenWith(page, address);
      if (server.isErr()) return err(server.error);
      this.#servers.push(server.value);
    }
    return ok(undefined);
  }

  close(): void {
    for (const server of this.#servers.splice(0)) server.close();
  }
}
