import { getRequestListener } from "@hono/node-server";
import { MemoryMetrics } from "@wasabivane/common";
import { EntryHost } from "./entryHost.ts";
import type { EntryHostOptions } from "./entryHostOptions.ts";
import { type HttpListener, listen } from "./httpListener.ts";
import { createOperatorRoutes } from "./operatorApi.ts";

/** Ports that a daemon listens on. */
export interface DaemonPorts {
  readonly callerPort: number;
  readonly operatorPort: number;
}

/** Runs an {@link EntryHost} behind its HTTP listeners. */
export class Daemon {
  readonly host: EntryHost;
  /**
   * Resolves when a planned stop has ended, regardless of how it was started.
   */
  readonly whenDrained: Promise<void>;
  readonly #options: EntryHostOptions;
  readonly #listeners: HttpListener[] = [];

  constructor(options: EntryHostOptions) {
    this.#options = options;
    this.host = new EntryHost(options);
    this.whenDrained = new Promise((resolve) => {
      this.host.onStopPhase(({ kind }) => {
        if (kind === "draining") this.#listeners[0]?.stopAccepting();
        if (kind === "ended") resolve();
      });
    });
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
    const routes = createOperatorRoutes(this.host.createOperatorView());
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

  /**
   * Stops according to the bundle's stop plan: fails the readiness check, lets
   * running responses finish and hands over waiting jobs. Stops immediately
   * when there is no bundle.
   */
  async drain(): Promise<void> {
    const isUnderWay = this.host.requestStop() || this.host.isStopping;
    if (isUnderWay) await this.whenDrained;
    await this.stop();
  }

  /** Stops immediately and closes all connections. */
  async stop(): Promise<void> {
    this.host.stop();
    await Promise.all(this.#listeners.map((listener) => listener.close()));
    await this.#options.client.close();
  }
}
