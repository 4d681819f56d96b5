import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import type { Result } from "neverthrow";
import { listenAt } from "./listenAt.ts";
import type { ListenError } from "./listenError.ts";

const NOT_FOUND: EndpointResponse = { status: 404 };
const FAILED: EndpointResponse = { status: 500 };
const METHODS: readonly (string | undefined)[] = ["GET", "HEAD"];

/** The response of an {@link Endpoint}. */
export interface EndpointResponse {
  readonly status: number;
  readonly type?: string;
  readonly body?: string | Buffer;
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

/**
 * Serves GET and HEAD requests for one endpoint at `ip:port`. Uses `node:http`
 * alone, since web frameworks load the runtime's `fetch` API, which slows down
 * the start.
 */
export function serveEndpoint(
  endpoint: Endpoint,
  address: string,
  onUpgrade?: UpgradeListener,
): Promise<Result<Server, ListenError>> {
  const server = createServer((request, response) => {
    // The path is compared but never parsed, since parsing an invalid one may
    // throw.
    const [path, query] = (request.url ?? "").split("?", 2);
    const isMatch = METHODS.includes(request.method) && path === endpoint.path;
    if (!isMatch) return send(response, NOT_FOUND);
    void respondWith(endpoint, new URLSearchParams(query), response);
  });
  if (onUpgrade !== undefined) server.on("upgrade", onUpgrade);
  return listenAt(server, address);
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
  { status, type, body = "" }: EndpointResponse,
): void {
  response.statusCode = status;
  if (type !== undefined) response.setHeader("content-type", type);
  response.end(body);
}
