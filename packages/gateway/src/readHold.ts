import type { Socket } from "node:net";

/** Stops reading from a connection, though the HTTP server may resume it. */
export class ReadHold {
  readonly #socket: Socket;
  #isHeld = false;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  get isHeld(): boolean {
    return this.#isHeld;
  }

  /** Stops reading; what was read already is still parsed. */
  hold(): void {
    if (this.#isHeld) return;
    this.#isHeld = true;
    // The server resumes a connection after each message.
    this.#socket.on("resume", this.#pause);
    this.#pause();
  }

  /** Reads on unless another hold remains. */
  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    this.#socket.off("resume", this.#pause);
    this.#socket.resume();
  }

  readonly #pause = (): void => void this.#socket.pause();
}
