import { Buffer } from "node:buffer";
import { readSync } from "node:fs";
import type { Socket } from "node:net";

const PROBE = Buffer.alloc(1);

/** The runtime's internal handle of a socket. */
interface SocketHandle {
  readonly _handle?: { readonly fd?: number } | null;
}

/**
 * Detects whether the socket whose event is being handled was reset.
 *
 * A response without a length ends with its connection, so a reset must not be
 * taken for its end. The HTTP library treats ECONNRESET as an end there, and
 * the runtime reports a normal end if the reset arrives together with the last
 * bytes. Reading the descriptor once more tells them apart: it returns 0 after
 * an end and fails after a reset. The listeners here run before those of the
 * library.
 */
export class ResetDetector {
  isReset = false;

  /** Watches a socket that has just been connected. */
  watch(socket: Socket): void {
    socket.prependListener("error", () => this.#markReset());
    // The end of a TLS stream need not be that of its connection.
    if ("encrypted" in socket) return;
    socket.prependListener("end", () => {
      if (!hasEndedNormally(socket)) this.#markReset();
    });
  }

  #markReset(): void {
    this.isReset = true;
    queueMicrotask(() => (this.isReset = false));
  }
}

/** Whether a socket that has emitted `end` was not reset. */
export function hasEndedNormally(socket: Socket): boolean {
  const fd = (socket as SocketHandle)._handle?.fd;
  if (fd === undefined || fd < 0) return false;
  try {
    return readSync(fd, PROBE) === 0;
  } catch {
    return false;
  }
}
