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
    // The HTTP library parses what it reads before it reads from another one.
    socket.read = (size) => {
      this.#current = watched;
      const chunk = read(size);
      if (chunk !== null) watched.countBytes(chunk.length);
      return chunk;
    };
  }
}

/** A connection to an upstream that the HTTP library uses. */
export class UpstreamSocket {
  /** The call whose response is being received. */
  receiver: ResponseReceiver | undefined;
  readonly #socket: Duplex;
  readonly #overhead = new OverheadLimit();

  constructor(socket: Duplex, options: UpstreamSocketsOptions) {
    this.#socket = socket;
    this.#containErrors(options);
    socket.prependListener("end", () => this.receiver?.handleConnectionEnd());
  }

  /** Counts bytes that may turn out to be no part of a response. */
  countBytes(bytes: number): void {
    this.#overhead.count(bytes);
    if (!this.#overhead.isExceeded) return;
    this.#socket.destroy(new Error("Too many bytes that are no response"));
  }

  /** Records that what was just read held a final head or a part of a body. */
  recordProgress(): void {
    this.#overhead.reset();
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
