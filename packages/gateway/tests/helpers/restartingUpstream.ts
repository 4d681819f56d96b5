import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import {
  asId,
  type EpochMilliseconds,
  type Milliseconds,
} from "@wasabivane/common";
import type { RawUpstream } from "./fleet.ts";
import { freePorts } from "./freePorts.ts";

/** Part of a prompt that crashes each upstream that begins to respond to it. */
export const BAD_PART = "bad";

const EVENT_INTERVAL_MS: Milliseconds = 20;

/** How upstreams crash, and how long their requests run. */
export interface RestartingUpstreamOptions {
  /** Time for which a sound request runs. */
  readonly runTime: Milliseconds;
  /** Time for which a request runs until it crashes the upstream. */
  readonly crashTime: Milliseconds;
  /** Time until a crashed upstream is back. */
  readonly restartDelay: Milliseconds;
  /** Whether responses have neither a length nor chunks. */
  readonly isUnframed: boolean;
  /** Whether the crash comes before the head of the response. */
  readonly crashesUnanswered: boolean;
  /** Time from the end of a response with the bad part to the crash. */
  readonly crashesAfterEnd: Milliseconds | undefined;
  /** Whether the part crashes upstreams at present. */
  readonly isBad: (parts: readonly string[]) => boolean;
  /** Called when the next incarnation serves at the address. */
  readonly onRestart: (name: string, address: string) => void;
}

/** An upstream that crashes under a part of a prompt and comes back. */
export class RestartingUpstream {
  readonly #options: RestartingUpstreamOptions;
  readonly #index: number;
  #server: Server | undefined;
  #incarnation = 0;
  /** Reserved at the first start, as each restart listens there again. */
  #port: number | undefined;
  #isClosed = false;
  /** When it has crashed under the bad part. */
  readonly crashedAt: EpochMilliseconds[] = [];
  /** When requests with the bad part arrived. */
  readonly badArrivals: EpochMilliseconds[] = [];

  constructor(index: number, options: RestartingUpstreamOptions) {
    this.#index = index;
    this.#options = options;
  }

  get address(): string {
    return `127.0.0.1:${this.#port ?? 0}`;
  }

  /** For {@link startGateway}, which lists its upstreams as `u0`, `u1` and so on. */
  get raw(): RawUpstream {
    return {
      address: asId(this.address),
      received: [],
      close: () => this.close(),
    };
  }

  async start(): Promise<void> {
    const server = createServer((request, response) => {
      request.resume();
      request.once("end", () => this.#serve(request, response));
    });
    this.#server = server;
    this.#port ??= (await freePorts(1))[0];
    await new Promise<void>((resolve) =>
      server.listen(this.#port, "127.0.0.1", resolve)
    );
  }

  /** Ends the process, as it were, and starts the next one some time later. */
  crash(): void {
    const server = this.#server;
    if (server === undefined) return;
    this.#server = undefined;
    server.close();
    server.closeAllConnections();
    setTimeout(() => void this.#restart(), this.#options.restartDelay);
  }

  close(): void {
    this.#isClosed = true;
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  async #restart(): Promise<void> {
    if (this.#isClosed) return;
    await this.start();
    this.#incarnation++;
    const name = `u${this.#index}-${this.#incarnation}`;
    this.#options.onRestart(name, this.address);
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const { isBad, crashesUnanswered, isUnframed } = this.#options;
    const parts = String(request.headers["parts"] ?? "").split(",");
    if (parts.includes(BAD_PART)) this.badArrivals.push(Date.now());
    const crashes = isBad(parts);
    if (isUnframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    if (crashes && crashesUnanswered) {
      return void setTimeout(() => this.#crashUnder(), this.#options.crashTime);
    }
    const id = String(request.headers["id"]);
    response.writeHead(200, { id, mark: "m" });
    this.#sendEvents(response, crashes);
  }

  #sendEvents(response: ServerResponse, crashes: boolean): void {
    const { runTime, crashTime, crashesAfterEnd } = this.#options;
    const server = this.#server;
    const span = crashes ? crashTime : runTime;
    let sent = 0;
    const timer = setInterval(() => {
      if (response.destroyed) return clearInterval(timer);
      response.write(`id: ${++sent}\ndata: x\n\n`);
      if (sent * EVENT_INTERVAL_MS < span) return;
      clearInterval(timer);
      if (!crashes) return void response.end();
      if (server !== this.#server) return;
      if (crashesAfterEnd === undefined) return this.#crashUnder();
      response.end();
      setTimeout(() => this.#crashUnder(), crashesAfterEnd);
    }, EVENT_INTERVAL_MS);
    // The crash comes also when the caller has left.
    if (crashes && crashesAfterEnd === undefined) {
      setTimeout(() => {
        if (server === this.#server) this.#crashUnder();
      }, span + 2 * EVENT_INTERVAL_MS);
    }
  }

  #crashUnder(): void {
    if (this.#server === undefined) return;
    this.crashedAt.push(Date.now());
    this.crash();
  }
}
