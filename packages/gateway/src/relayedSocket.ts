import type { Buffer } from "node:buffer";
import { Duplex } from "node:stream";
import { ByteCollector } from "@wasabivane/common";
import type { RawData, WebSocket } from "ws";
import { RELAY_PART_BYTES } from "./relayMessage.ts";

/** Messages below this size are collected while they are read at once. */
const SMALL_MESSAGE_BYTES = 1_024;

/** Close code of a relay whose upstream ended the connection properly. */
export const UPSTREAM_ENDED = 1000;

/**
 * A connection to an upstream through a peer, for the HTTP library. It ends only
 * if the upstream ended its connection; a reset, or a peer that is lost, is an
 * error, so that a response without a length never looks complete.
 */
export class RelayedSocket extends Duplex {
  readonly #webSocket: WebSocket;
  /** Bytes of small messages. */
  readonly #small = new ByteCollector();

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
      this.#receive(data as Buffer);
    });
    webSocket.on("error", (error) => this.destroy(error));
    webSocket.on("close", (code) => {
      this.#passOnSmall();
      if (code === UPSTREAM_ENDED) this.push(null);
      else this.destroy(new Error(`The relay closed with code ${code}`));
    });
  }

  /** Sends a message for the peer itself. */
  sendControl(text: string): void {
    this.#webSocket.send(text);
  }

  #receive(bytes: Buffer): void {
    if (bytes.length >= SMALL_MESSAGE_BYTES) {
      this.#passOnSmall();
      return this.#passOn(bytes);
    }
    if (this.#small.length === 0) queueMicrotask(() => this.#passOnSmall());
    this.#small.add(bytes);
  }

  #passOnSmall(): void {
    if (this.#small.length > 0) this.#passOn(this.#small.take());
  }

  #passOn(bytes: Buffer): void {
    if (!this.destroyed && !this.push(bytes)) this.#webSocket.pause();
  }

  override _read(): void {
    this.#webSocket.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: string,
    callback: (error?: Error | null) => void,
  ): void {
    this.#send(chunk, callback);
  }

  /** Sends a part after the other, so that neither host holds a copy of all. */
  #send(bytes: Buffer, callback: (error?: Error | null) => void): void {
    const part = bytes.subarray(0, RELAY_PART_BYTES);
    const rest = bytes.subarray(RELAY_PART_BYTES);
    this.#webSocket.send(part, { binary: true }, (error) => {
      if (error || rest.length === 0) callback(error);
      else this.#send(rest, callback);
    });
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
