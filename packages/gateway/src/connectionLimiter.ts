import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Requests of one connection that may wait for their response. */
export const MAXIMUM_PENDING = 4;
/** Requests after a flood whose connections are closed behind their response. */
const STRICT_REQUESTS = 1_000;

/** Options of {@link ConnectionLimiter}. */
export interface ConnectionLimiterOptions {
  readonly maximumConnections: number;
  /** Called for each connection that is closed for one of the limits. */
  readonly onDrop: () => void;
}

/**
 * Bounds the connections of a server whose callers are not known, and the
 * requests that each may pipeline. Above the limit, the connection that has been
 * idle for longest makes room, so that idle ones do not keep others out.
 */
export class ConnectionLimiter {
  readonly #options: ConnectionLimiterOptions;
  /** Pending requests by connection, the least recently used one first. */
  readonly #pending = new Map<Socket, number>();

  /** Requests until connections are kept for further ones again. */
  #strictRequests = 0;

  constructor(server: Server, options: ConnectionLimiterOptions) {
    this.#options = options;
    server.on("connection", (socket: Socket) => this.#admit(socket));
  }

  /** Open connections. */
  get size(): number {
    return this.#pending.size;
  }

  /** Counts a request until its response ends; returns false if it is dropped. */
  begin(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    // The rest of a chunk is parsed although its connection is closed.
    if (socket.destroyed) return false;
    const pending = this.#pending.get(socket) ?? 0;
    if (pending >= MAXIMUM_PENDING) {
      this.dropFlood(socket);
      return false;
    }
    if (this.#strictRequests > 0) {
      this.#strictRequests--;
      response.shouldKeepAlive = false;
    }
    this.#use(socket, pending + 1);
    response.once("close", () => {
      const left = this.#pending.get(socket);
      if (left !== undefined) this.#use(socket, left - 1);
    });
    return true;
  }

  /** Counts a connection no longer, as another protocol has its own limit. */
  release(socket: Socket): void {
    this.#pending.delete(socket);
  }

  /** Closes a connection that sends too many requests at once. */
  dropFlood(socket: Socket): void {
    this.#strictRequests = STRICT_REQUESTS;
    this.#drop(socket);
  }

  #admit(socket: Socket): void {
    if (this.#pending.size >= this.#options.maximumConnections) {
      this.#drop(this.#oldestIdle());
    }
    this.#pending.set(socket, 0);
    socket.once("close", () => this.#pending.delete(socket));
  }

  /** Moves a connection behind all others. */
  #use(socket: Socket, pending: number): void {
    this.#pending.delete(socket);
    this.#pending.set(socket, pending);
  }

  /** Returns the first connection if none is idle. */
  #oldestIdle(): Socket {
    for (const [socket, pending] of this.#pending) {
      if (pending === 0) return socket;
    }
    return this.#pending.keys().next().value!;
  }

  #drop(socket: Socket): void {
    this.#pending.delete(socket);
    socket.destroy();
    this.#options.onDrop();
  }
}
