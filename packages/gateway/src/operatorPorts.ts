import type { Server } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import type { Belief, FetchError, KnownBelief, Shown } from "./operatorPort.ts";

/** Where a host shows itself; all are `ip:port`. */
export interface OperatorAddresses {
  readonly readiness: string;
  /** What this host believes, for peers. */
  readonly peers: string;
  /** Counters and histograms; left out where nobody reads them. */
  readonly metrics?: { readonly address: string; readonly path: string };
}

/**
 * The ports beside the callers' one. A host that starts anew first serves callers:
 * the library behind these ports is loaded after that, which lets callers in a
 * fifth of a second sooner on the small machines.
 */
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
    const { beliefApp, listenApp, metricsApp, readinessApp } = await import(
      "./operatorPort.ts"
    );
    const { readiness, peers, metrics } = this.#addresses;
    const apps = [
      {
        app: readinessApp(this.#shown, this.#readyPath),
        address: readiness,
      },
      { app: beliefApp(this.#shown), address: peers },
    ];
    if (metrics !== undefined) {
      const { address, path } = metrics;
      apps.push({ app: metricsApp(this.#shown, path), address });
    }
    for (const { app, address } of apps) {
      const server = await listenApp(app, address);
      if (server.isErr()) return err(server.error);
      this.#servers.push(server.value);
    }
    return ok(undefined);
  }

  close(): void {
    for (const server of this.#servers.splice(0)) server.close();
  }
}

/** Reads what a peer believes. */
export async function askBelief(
  address: string,
  known: KnownBelief,
): Promise<Result<Belief, FetchError>> {
  const { fetchBelief } = await import("./operatorPort.ts");
  return await fetchBelief(address, known);
}
