import { Buffer } from "node:buffer";
import { readSync } from "node:fs";
import type { Socket } from "node:net";
import type { Milliseconds } from "@wasabivane/common";
import { buildConnector } from "undici";

/** A connection inside a region stands within a few milliseconds; a lost packet costs a second. */
const CONNECT_TIMEOUT_MS: Milliseconds = 250;

const PROBE = Buffer.alloc(1);

/** What the runtime keeps behind a socket. */
interface SocketHandle {
  readonly _handle?: { readonly fd?: number } | null;
}

/**
 * Knows whether the socket whose event is being handled was reset.
 *
 * An answer without a length ends with its connection, and half of one must not
 * reach the caller framed as whole. Two layers hide a reset: the HTTP library
 * takes ECONNRESET on such a connection for its end, and the runtime reports an
 * orderly end when the reset arrives in one turn with the last bytes. The system
 * still knows: reading once more gives 0 after an orderly end and an error after a
 * reset. The listeners set here run before the library's own, in the same turn.
 */
export class SocketResets {
  isFailing = false;
  readonly connector: buildConnector.connector;

  constructor() {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    this.connector = (options, callback) =>
      connect(options, (...result) => {
        const [, socket] = result;
        if (socket) this.#watch(socket);
        callback(...result);
      });
  }

  #watch(socket: Socket): void {
    socket.prependListener("error", () => this.#noteFailure());
    socket.prependListener("end", () => {
      if (!hasEndedOrderly(socket)) this.#noteFailure();
    });
  }

  #noteFailure(): void {
    this.isFailing = true;
    queueMicrotask(() => (this.isFailing = false));
  }
}

function hasEndedOrderly(socket: Socket): boolean {
  const fd = (socket as SocketHandle)._handle?.fd;
  if (fd === undefined || fd < 0) return false;
  try {
    return readSync(fd, PROBE) === 0;
  } catch {
    return false;
  }
}
