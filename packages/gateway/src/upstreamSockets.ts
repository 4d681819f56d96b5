import type { Duplex } from "node:stream";
import { OverheadLimit } from "./overheadLimit.ts";

/** Receives a response from a connection. */
export interface ResponseReceiver {
  /** Called when the connection has ended and all of its bytes are read. */
  handleConnectionEnd(): void;
}

/** Options of {@link UpstreamSockets}. */
export interface UpstreamSocketsOptions {
  /** Called with what a listener of the connection threw. */
  readonly onError: (thrown: unknown) => void;
  /** Called when a connection is closed for too many bytes that are no payload. */
  readonly onExcess: () => void;
}

/** The connections of a host, and the one that is being read. */
export class UpstreamSockets {
  #current: UpstreamSocket | undefined;

  /** The connection of the response that the HTTP library is parsing. */
  get current(): UpstreamSocket | undefined {
    return this.#current;
  }

  /** Watches a connection before the HTTP library gets it. */
  watch(socket: Duplex, options: UpstreamSocketsOptions): void {
    const watched = new UpstreamSocket(socket, options);
    const read = socket.read.bind(socket);
    const unshift = socket.unshift.bind(socket);
    // The HTTP library parses what it reads before it reads from another one.
    socket.read = (size) => {
      this.#current = watched;
      const chunk = read(size);
      if (chunk !== null) watched.countBytes(chunk.length);
      return chunk;
    };
    socket.unshift = (chunk, encoding) => {
      watched.returnBytes(chunk.length);
      unshift(chunk, encoding);
    };
  }
}

/** A connection to an upstream that the HTTP library uses. */
export class UpstreamSocket {
  /** The call whose response is being received. */
  receiver: ResponseReceiver | undefined;
  readonly #socket: Duplex;
  readonly #overhead = new OverheadLimit();
  readonly #onExcess: () => void;

  constructor(socket: Duplex, options: UpstreamSocketsOptions) {
    this.#socket = socket;
    this.#onExcess = options.onExcess;
    this.#containErrors(options);
    socket.prependListener("end", () => this.receiver?.handleConnectionEnd());
  }

  /**
   * Counts bytes that may turn out to be no part of a response. What was counted
   * before has been parsed by then.
   */
  countBytes(bytes: number): void {
    if (this.#overhead.isExceeded && !this.#socket.destroyed) {
      this.#onExcess();
      this.#socket.destroy(new Error("Too many bytes that are no response"));
    }
    this.#overhead.count(bytes);
  }

  /** Records that the last of the bytes that were read are yet to be parsed. */
  returnBytes(bytes: number): void {
    this.#overhead.count(-bytes);
  }

  /** Records that what was just read held a final head. */
  recordHead(): void {
    this.#overhead.reset();
  }

  /** Records that what was just read held a part of a body. */
  recordPayload(bytes: number): void {
    this.#overhead.recordPayload(bytes);
  }

  /** An assertion of the HTTP library fails one connection, not the process. */
  #containErrors({ onError }: UpstreamSocketsOptions): void {
    const socket = this.#socket;
    const emit = socket.emit.bind(socket) as (...event: unknown[]) => boolean;
    socket.emit = (...event: unknown[]) => {
      try {
        return emit(...event);
      } catch (thrown) {
        onError(thrown);
        socket.destroy(thrown as Error);
        return true;
      }
    };
  }
}
