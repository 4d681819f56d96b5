import type { IncomingMessage, Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";

/** Header that every answer repeats, errors too. */
export const NONCE_HEADER = "x-request-nonce";

/** Longer than any client keeps an idle connection, so that closes are deliberate. */
const KEEP_ALIVE_MS = 120_000;

/** Options that every stand-in takes. */
export interface HttpStandInOptions {
  /** Zero takes any free port and keeps it over a stop and a start. */
  port?: number;
  hostname?: string;
}

/** Where a started stand-in answers. */
export interface StandInAddress {
  readonly url: string;
}

/** What the stand-ins' routes get from the server. */
export interface StandInEnvironment {
  Bindings: HttpBindings;
}

/** One request at a stand-in. */
export type StandInContext = Context<StandInEnvironment>;

/** A small HTTP server that tests and demos embed. */
export abstract class HttpStandIn {
  protected readonly app = new Hono<StandInEnvironment>();
  readonly #hostname: string;
  readonly #sockets = new Set<Socket>();
  #port: number;
  #server: Server | undefined;

  constructor({ port = 0, hostname = "127.0.0.1" }: HttpStandInOptions = {}) {
    this.#port = port;
    this.#hostname = hostname;
  }

  /** Rejects when the port is taken. */
  async start(): Promise<StandInAddress> {
    const server = createAdaptorServer({
      fetch: this.app.fetch,
      overrideGlobalObjects: false,
    }) as Server;
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#port, this.#hostname, resolve);
    });
    this.#server = server;
    this.#port = (server.address() as AddressInfo).port;
    return { url: `http://${this.#hostname}:${this.#port}` };
  }

  /** Closes the port and every connection. */
  async stop(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return;
    this.#server = undefined;
    const closed = new Promise((resolve) => server.close(resolve));
    this.closeConnections();
    await closed;
  }

  /** Closes every connection at once, but for that of one request. */
  protected closeConnections(spared?: IncomingMessage): void {
    for (const socket of this.#sockets) {
      if (socket !== spared?.socket) socket.destroy();
    }
  }
}

/** Closes the request's connection without an answer. */
export function closeConnection(context: StandInContext): Response {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

/** Aborted once the answer has left or its connection has closed. */
export function createCloseSignal(context: StandInContext): AbortSignal {
  const controller = new AbortController();
  context.env.outgoing.on("close", () => controller.abort());
  return controller.signal;
}

/** The request's body as a JSON object, empty when there is no body; `undefined` when it is no object. */
export async function readJsonObject(
  context: StandInContext,
): Promise<Record<string, unknown> | undefined> {
  const text = await context.req.text();
  if (text === "") return {};
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === "object" && value !== null &&
      !Array.isArray(value);
    return isObject ? value as Record<string, unknown> : undefined;
  } catch {
    return undefined;
  }
}

/** An error answer in the shape of the model engines. */
export function createErrorResponse(
  context: StandInContext,
  { status, message }: {
    status: 400 | 404 | 409 | 413 | 429 | 503;
    message: string;
  },
): Response {
  const nonce = context.req.header(NONCE_HEADER);
  if (nonce !== undefined) context.header(NONCE_HEADER, nonce);
  return context.json({ error: { message, code: status } }, status);
}
