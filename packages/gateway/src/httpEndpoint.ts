import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { MemoryLease, Milliseconds } from "@wasabivane/common";
import type { Result } from "neverthrow";
import { ConnectionLimiter, MAXIMUM_PENDING } from "./connectionLimiter.ts";
import { checkFirstBytes } from "./firstBytes.ts";
import { listenAt } from "./listenAt.ts";
import type { ListenError } from "./listenError.ts";

const DEFAULT_CONNECTIONS = 256;
const SERVER_OPTIONS = {
  maxHeaderSize: 8 * 1_024,
  headersTimeout: 2_000,
  requestTimeout: 4_000,
  keepAliveTimeout: 5_000,
  connectionsCheckingInterval: 500,
};
/** Time for which a connection may neither receive nor send. */
const IDLE_TIMEOUT_MS: Milliseconds = 10_000;
/** Time that a refused caller has to close its connection. */
const LINGER_MS: Milliseconds = 1_000;

const NOT_FOUND: EndpointResponse = { status: 404 };
const FAILED: EndpointResponse = { status: 500 };
const METHODS: readonly (string | undefined)[] = ["GET", "HEAD"];

/** The response of an {@link Endpoint}. */
export interface EndpointResponse {
  readonly status: number;
  readonly type?: string;
  readonly body?: string | Buffer;
  /** Is released when the response has been read or given up. */
  readonly lease?: MemoryLease;
}

/** Responds to requests for one path. */
export interface Endpoint {
  readonly path: string;
  readonly respond: (
    query: URLSearchParams,
  ) => EndpointResponse | Promise<EndpointResponse>;
}

/** Handles a request to use the connection for another protocol. */
export type UpgradeListener = (
  request: IncomingMessage,
  socket: Duplex,
  head: Buffer,
) => void;

/** Options of {@link serveEndpoint}. */
export interface ServeOptions {
  readonly onUpgrade?: UpgradeListener | undefined;
  /** Connections above which idle ones are closed; without upgraded ones. */
  readonly maximumConnections?: number | undefined;
  /** Called for each connection that is closed for a limit. */
  readonly onDrop?: (() => void) | undefined;
}

/** An endpoint and the address `ip:port` where it is served. */
export interface EndpointLocation {
  readonly endpoint: Endpoint;
  readonly address: string;
}

/**
 * Serves GET and HEAD requests for one endpoint at `ip:port`. Uses `node:http`
 * alone, since web frameworks load the runtime's `fetch` API, which slows down
 * the start. Anybody may connect, so connections, heads, pending requests and
 * times are bounded, and no body is read.
 */
export function serveEndpoint(
  { endpoint, address }: EndpointLocation,
  {
    onUpgrade,
    maximumConnections = DEFAULT_CONNECTIONS,
    onDrop = () => {},
  }: ServeOptions = {},
): Promise<Result<Server, ListenError>> {
  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    if (!limiter.begin(request, response)) return;
    // A body would be read to its end otherwise.
    if (hasBody(request)) {
      response.setHeader("connection", "close");
      response.once("finish", () => request.destroy());
    }
    // The path is compared but never parsed, since parsing an invalid one may
    // throw.
    const [path, query] = (request.url ?? "").split("?", 2);
    const isMatch = METHODS.includes(request.method) && path === endpoint.path;
    if (!isMatch) return send(response, NOT_FOUND);
    void respondWith(endpoint, new URLSearchParams(query), response);
  };
  const server = createServer(SERVER_OPTIONS, handle);
  // The HTTP server would answer it without the bounds of other requests.
  server.on("checkExpectation", handle);
  server.timeout = IDLE_TIMEOUT_MS;
  checkFirstBytes(server, {
    maximumBytes: SERVER_OPTIONS.maxHeaderSize,
    maximumHeads: MAXIMUM_PENDING,
    onDrop: (socket) => limiter.dropFlood(socket),
  });
  const limiter = new ConnectionLimiter(server, { maximumConnections, onDrop });
  if (onUpgrade !== undefined) {
    server.on("upgrade", (request, socket: Socket, head) => {
      limiter.release(socket);
      onUpgrade(request, socket, head);
      // Refused callers may keep their side open.
      socket.once("finish", () => {
        socket.setTimeout(LINGER_MS, () => socket.destroy());
        socket.resume();
      });
    });
  }
  return listenAt(server, address);
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) !== 0;
}

async function respondWith(
  endpoint: Endpoint,
  query: URLSearchParams,
  response: ServerResponse,
): Promise<void> {
  try {
    send(response, await endpoint.respond(query));
  } catch {
    send(response, FAILED);
  }
}

function send(
  response: ServerResponse,
  { status, type, body = "", lease }: EndpointResponse,
): void {
  if (lease !== undefined) releaseAtEnd(response, lease);
  response.statusCode = status;
  if (type !== undefined) response.setHeader("content-type", type);
  response.end(body);
}

function releaseAtEnd(response: ServerResponse, lease: MemoryLease): void {
  const { socket } = response.req;
  if (response.closed || socket.destroyed) return lease.release();
  const release = (): void => {
    socket.off("close", release);
    lease.release();
  };
  response.once("close", release);
  // A response that waits for earlier ones is not told of it.
  socket.once("close", release);
}
