import type { Buffer } from "node:buffer";
import type { Server, Socket } from "node:net";
import type { Milliseconds } from "@wasabivane/common";

const HEAD_END = "\r\n\r\n";
/** Time until a connection sends its first bytes. */
const FIRST_BYTES_TIMEOUT_MS: Milliseconds = 2_000;

/** Options of {@link checkFirstBytes}. */
export interface FirstBytesOptions {
  readonly maximumBytes: number;
  /** Ends of heads that the first bytes may have. */
  readonly maximumHeads: number;
  /** Called for each connection that is closed for one of the limits. */
  readonly onDrop: (socket: Socket) => void;
}

/**
 * Lets a server see a connection once its first bytes are within limits, as a
 * parser takes all requests of a chunk before any can be refused.
 */
export function checkFirstBytes(
  server: Server,
  { maximumBytes, maximumHeads, onDrop }: FirstBytesOptions,
): void {
  const listeners = server.listeners("connection");
  server.removeAllListeners("connection");
  const serve = (socket: Socket): void => {
    for (const listener of listeners) listener.call(server, socket);
  };
  server.on("connection", (socket: Socket) => {
    const onError = (): void => void socket.destroy();
    socket.on("error", onError);
    socket.setTimeout(FIRST_BYTES_TIMEOUT_MS, onError);
    socket.once("readable", () => {
      const bytes: Buffer | null = socket.read();
      if (bytes === null) return onError();
      if (bytes.length > maximumBytes || countHeads(bytes) > maximumHeads) {
        return onDrop(socket);
      }
      socket.off("timeout", onError);
      socket.off("error", onError);
      socket.unshift(bytes);
      serve(socket);
    });
  });
}

function countHeads(bytes: Buffer): number {
  let count = 0;
  let end = bytes.indexOf(HEAD_END);
  while (end >= 0) {
    count++;
    end = bytes.indexOf(HEAD_END, end + HEAD_END.length);
  }
  return count;
}
