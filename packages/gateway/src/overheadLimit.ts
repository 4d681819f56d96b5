import type { Duplex } from "node:stream";

/** Largest head of a response. */
export const MAXIMUM_HEADER_BYTES = 32 * 1_024;
/** Bytes of a connection between two parts of responses, heads included. */
const MAXIMUM_OVERHEAD_BYTES = 4 * MAXIMUM_HEADER_BYTES;

/** The limits of all connections of a host, and the one that is being read. */
export class OverheadLimits {
  #current: OverheadLimit | undefined;

  /** Limits what is read from a connection without being part of a response. */
  watch(socket: Duplex): void {
    const limit = new OverheadLimit(socket);
    const read = socket.read.bind(socket);
    // The HTTP library parses what it reads before it reads from another one.
    socket.read = (size) => {
      this.#current = limit;
      const chunk = read(size);
      if (chunk !== null) limit.count(chunk.length);
      return chunk;
    };
  }

  /** Records that what was just read held a final head or a part of a body. */
  recordProgress(): void {
    this.#current?.reset();
  }
}

/**
 * Ends a connection whose bytes go on without being part of a response, such as
 * interim heads, chunk extensions or blank lines, which the HTTP library skips.
 */
class OverheadLimit {
  readonly #socket: Duplex;
  #bytes = 0;

  constructor(socket: Duplex) {
    this.#socket = socket;
  }

  count(bytes: number): void {
    this.#bytes += bytes;
    if (this.#bytes <= MAXIMUM_OVERHEAD_BYTES) return;
    this.#socket.destroy(new Error("Too many bytes that are no response"));
  }

  reset(): void {
    this.#bytes = 0;
  }
}
