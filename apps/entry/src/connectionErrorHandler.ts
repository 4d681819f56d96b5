import { Buffer } from "node:buffer";
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import { writeProblem } from "./responseWriter.ts";
import {
  type Problem,
  problemDocument,
  problemHeaders,
  problemOf,
  PROBLEMS,
} from "./problem.ts";

/** Connections past the bound that are still told why they are refused. */
const REFUSED_CONNECTIONS = 64;
const RETRY_AFTER_MS = 1_000;

/** Handles one request of a connection. */
export type RequestHandler = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => void;

interface Pending {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

/**
 * Ends what cannot be read as a request with a problem document. Node.js would
 * send a bare status line, from which a caller cannot learn that nothing ran.
 */
export class ConnectionErrorHandler {
  /** A caller may send requests before the answers of former ones came. */
  readonly #pending = new WeakMap<Socket, Set<Pending>>();
  readonly #refused = new WeakSet<Socket>();
  readonly #maximumConnections: number;
  #connections = 0;

  constructor(maximumConnections: number) {
    this.#maximumConnections = maximumConnections;
  }

  /** Wraps the handler of the server's requests. */
  wrapHandler(handle: RequestHandler): RequestHandler {
    return (incoming, outgoing) => {
      if (this.#refused.has(incoming.socket)) {
        refuse(
          outgoing,
          problemOf("too-many-connections", {
            retryAfter: RETRY_AFTER_MS,
          }),
        );
        return;
      }
      this.#note({ incoming, outgoing });
      handle(incoming, outgoing);
    };
  }

  /** Watches the server's connections. */
  attachTo(server: Server | TlsServer): void {
    server.maxConnections = this.#maximumConnections + REFUSED_CONNECTIONS;
    const opened = server instanceof TlsServer
      ? "secureConnection"
      : "connection";
    server.on(opened, (socket: Socket) => this.#onConnection(socket));
    server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket: Socket) =>
        this.#onClientError(error, socket),
    );
    server.on(
      "checkExpectation",
      (_incoming, outgoing) =>
        refuse(outgoing, malformed("The expectation cannot be met")),
    );
  }

  #note(pending: Pending): void {
    const { incoming: { socket }, outgoing } = pending;
    const all = this.#pending.get(socket) ?? new Set();
    this.#pending.set(socket, all.add(pending));
    outgoing.once("close", () => all.delete(pending));
  }

  #onConnection(socket: Socket): void {
    this.#connections++;
    if (this.#connections > this.#maximumConnections) this.#refused.add(socket);
    socket.once("close", () => this.#connections--);
  }

  /**
   * A request that was read whole may be running. A document sent now would be
   * taken for its answer, so its connection just breaks, as a hang-up does.
   */
  #onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const pending = [...this.#pending.get(socket) ?? []];
    const isRunning = pending.some(({ incoming, outgoing }) =>
      incoming.complete || outgoing.headersSent
    );
    if (isRunning || !socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    socket.end(rawAnswer(problemOfClientError(error)));
  }
}

function refuse(outgoing: ServerResponse, problem: Problem): void {
  outgoing.shouldKeepAlive = false;
  writeProblem(outgoing, problem);
}

function problemOfClientError({ code }: NodeJS.ErrnoException): Problem {
  if (code === "HPE_HEADER_OVERFLOW") return problemOf("headers-too-large");
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return problemOf("request-timeout");
  return malformed("The bytes are not a request of HTTP/1.1");
}

function malformed(detail: string): Problem {
  return problemOf("malformed-request", { detail });
}

function rawAnswer(problem: Problem): string {
  const { status } = PROBLEMS[problem.name];
  const body = JSON.stringify(problemDocument(problem));
  const headers = {
    ...problemHeaders(problem),
    "content-length": String(Buffer.byteLength(body)),
    "connection": "close",
  };
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}`
  );
  const head = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`, ...lines];
  return `${head.join("\r\n")}\r\n\r\n${body}`;
}
