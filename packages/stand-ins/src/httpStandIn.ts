import type { IncomingMessage, Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";

/** Header that every response echoes, including errors. */
export const NONCE_HEADER = "x-request-nonce";

/** Exceeds the clients' idle timeouts, so that the server never closes first. */
const KEEP_ALIVE_MS = 120_000;

/** Options of an {@link HttpStandIn}. */
export interface HttpStandInOptions {
  /** 0 selects a free port, which is reused after a stop and start. */
  port?: number;
  hostname?: string;
}

/** Address of a started stand-in. */
export interface StandInAddress {
  readonly url: string;
}

/** Hono environment of the stand-ins' routes. */
export interface StandInEnvironment {
  Bindings: HttpBindings;
}

/** Hono context of a request to a stand-in. */
export type StandInContext = Context<StandInEnvironment>;

/** Base of the HTTP servers that replace real systems in tests and demos. */
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

  /** Starts listening; rejects if the port is in use. */
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

  /** Closes all connections immediately, except that of one request. */
  protected closeConnections(exceptRequest?: IncomingMessage): void {
    for (const socket of this.#sockets) {
      if (socket !== exceptRequest?.socket) socket.destroy();
    }
  }
}

/** Closes the request's connection without a response. */
export function closeConnection(context: StandInContext): Response {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

/** Creates a signal that aborts once the response is sent or disconnected. */
export function createCloseSignal(context: StandInContext): AbortSignal {
  const controller = new AbortController();
  context.env.outgoing.on("close", () => controller.abort());
  return controller.signal;
}

/** Parses the body as a JSON object, `{}` if empty; `undefined` if invalid. */
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

/** Creates an error response in the format of inference engines. */
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
