import { Buffer } from "node:buffer";
import { Duplex } from "node:stream";
import type { RawData, WebSocket } from "ws";

/** Close code of a relay whose upstream ended the connection properly. */
export const UPSTREAM_ENDED = 1000;

/**
 * A connection to an upstream through a peer, for the HTTP library. It ends only
 * if the upstream ended its connection; a reset, or a peer that is lost, is an
 * error, so that a response without a length never looks complete.
 */
export class RelayedSocket extends Duplex {
  readonly #webSocket: WebSocket;

  constructor(
    webSocket: WebSocket,
    { onControl }: { onControl: (text: string) => void },
  ) {
    super({ allowHalfOpen: false });
    this.#webSocket = webSocket;
    // The relay may break before its user listens.
    this.on("error", () => {});
    webSocket.on("message", (data: RawData, isBinary: boolean) => {
      if (!isBinary) return onControl(String(data));
      if (!this.push(data as Buffer)) webSocket.pause();
    });
    webSocket.on("error", (error) => this.destroy(error));
    webSocket.on("close", (code) => {
      if (code === UPSTREAM_ENDED) this.push(null);
      else this.destroy(new Error(`The relay closed with code ${code}`));
    });
  }

  /** Sends a message for the peer itself. */
  sendControl(text: string): void {
    this.#webSocket.send(text);
  }

  override _read(): void {
    this.#webSocket.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: string,
    callback: (error?: Error | null) => void,
  ): void {
    this.#webSocket.send(chunk, { binary: true }, callback);
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.#webSocket.terminate();
    callback(error);
  }

  /** The HTTP library calls these methods of a socket. */
  ref(): this {
    return this;
  }

  unref(): this {
    return this;
  }
}
