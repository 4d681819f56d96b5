import type { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import { err, ok, type Result } from "neverthrow";
import { decodeWord, encodeWord, type PeerWord } from "./peerWord.ts";

/** Why the channel could not open. */
export interface ChannelError {
  readonly kind: "cannot-bind";
  readonly detail: string;
}

/**
 * Datagrams among hosts. A word replaces the one before it, so that a lost one does no
 * harm, and a connection that went silent cannot hold the newest back.
 */
export class PeerChannel {
  readonly #socket: Socket = createSocket("udp4");
  readonly #onMalformed: (detail: string) => void;

  constructor(
    { onWord, onMalformed }: {
      onWord: (word: PeerWord) => void;
      onMalformed: (detail: string) => void;
    },
  ) {
    this.#onMalformed = onMalformed;
    this.#socket.on("message", (bytes) => this.#receive(bytes, onWord));
  }

  open(address: string): Promise<Result<void, ChannelError>> {
    const { ip, port } = splitAddress(address);
    return new Promise((resolve) => {
      this.#socket.once("error", (error) => {
        resolve(err({ kind: "cannot-bind", detail: error.message }));
      });
      this.#socket.bind(port, ip, () => {
        this.#socket.on("error", (error) => this.#onMalformed(error.message));
        resolve(ok(undefined));
      });
    });
  }

  send(word: PeerWord, targets: readonly string[]): void {
    const bytes = encodeWord(word);
    for (const target of targets) {
      const { ip, port } = splitAddress(target);
      this.#socket.send(bytes, port, ip, ignoreSendError);
    }
  }

  close(): void {
    this.#socket.close();
  }

  #receive(bytes: Buffer, onWord: (word: PeerWord) => void): void {
    const word = decodeWord(bytes);
    if (word.isOk()) onWord(word.value);
    else this.#onMalformed(word.error.detail);
  }
}

/** Parts of an `ip:port` address. */
export function splitAddress(address: string): { ip: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    ip: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/** A peer that cannot be reached now hears the next word. */
function ignoreSendError(): void {}
