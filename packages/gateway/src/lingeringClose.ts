import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Milliseconds, Timer } from "@wasabivane/common";
import { ReadHold } from "./readHold.ts";

/** Limits of what is discarded of a body whose request was refused. */
const MAXIMUM_SPAN_MS: Milliseconds = 1_000;
const MAXIMUM_BYTES = 256 * 1_024;
/** Shorter chunks count as so many bytes. */
const CHUNK_BYTES = 64;
/** Each of them keeps a descriptor. */
const MAXIMUM_CONNECTIONS = 256;

/**
 * Closes connections on which callers may still be sending.
 *
 * A connection that is closed with unread bytes is reset, and a reset can destroy
 * the response before its caller reads it. So only this host's side is closed,
 * and what arrives is discarded until the caller closes its own, up to a number of
 * bytes. A caller that sends more has the rest of a limited time to read.
 */
export class LingeringClose {
  readonly #timer: Timer;
  #connections = 0;

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Whether as many connections are being closed as is allowed. */
  get isFull(): boolean {
    return this.#connections >= MAXIMUM_CONNECTIONS;
  }

  /** Closes the connection of a request whose response has been written. */
  close(request: IncomingMessage): void {
    const { socket } = request;
    const hold = new ReadHold(socket);
    let bytes = 0;
    this.#connections++;
    const deadline = this.#timer.after(
      MAXIMUM_SPAN_MS,
      () => void socket.destroy(),
    );
    socket.once("close", () => {
      deadline.cancel();
      this.#connections--;
    });
    request.on("data", (chunk: Buffer) => {
      bytes += Math.max(CHUNK_BYTES, chunk.length);
      if (bytes > MAXIMUM_BYTES) hold.hold();
    });
    request.once("end", () => socket.destroySoon());
    socket.end();
  }
}
