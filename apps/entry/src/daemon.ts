import { getRequestListener } from "@hono/node-server";
import { MemoryMetrics } from "@wasabivane/common";
import { EntryHost, type EntryHostOptions } from "./entryHost.ts";
import { type HttpListener, listen } from "./httpListener.ts";
import { operatorRoutes } from "./operatorApi.ts";

/** Ports that a daemon listens on. */
export interface DaemonPorts {
  readonly callerPort: number;
  readonly operatorPort: number;
}

/** One entry host's process: an {@link EntryHost} behind HTTP listeners. */
export class Daemon {
  readonly host: EntryHost;
  readonly #options: EntryHostOptions;
  readonly #listeners: HttpListener[] = [];

  constructor(options: EntryHostOptions) {
    this.#options = options;
    this.host = new EntryHost(options);
  }

  /** Joins the fleet and listens; rejects when a port cannot be bound. */
  async start(): Promise<DaemonPorts> {
    const {
      settings: { callers, operators, limits },
      metrics = new MemoryMetrics(),
    } = this.#options;
    this.host.start();
    const callerApi = this.host.createCallerApi();
    const callerListener = await listen(
      (incoming, outgoing) => void callerApi.handle(incoming, outgoing),
      { listener: callers, limits, metrics },
    );
    this.#listeners.push(callerListener);
    const routes = operatorRoutes(this.host.operatorView());
    const operatorListener = await listen(
      getRequestListener(routes.fetch, { overrideGlobalObjects: false }),
      { listener: operators, limits, metrics },
    );
    this.#listeners.push(operatorListener);
    return {
      callerPort: callerListener.port,
      operatorPort: operatorListener.port,
    };
  }

  /** Closes everything. */
  async stop(): Promise<void> {
    this.host.stop();
    await Promise.all(this.#listeners.map((listener) => listener.close()));
    await this.#options.client.close();
  }
}
