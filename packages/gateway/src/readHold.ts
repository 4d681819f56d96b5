import type { Socket } from "node:net";

/**
 * Stops reading from a connection. The HTTP server resumes connections on its own,
 * after each message for instance.
 */
export class ReadHold {
  readonly #socket: Socket;
  #isHeld = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("resume", () => {
      if (this.#isHeld) socket.pause();
    });
  }

  get isHeld(): boolean {
    return this.#isHeld;
  }

  /** Stops reading; what was read already is still parsed. */
  hold(): void {
    this.#isHeld = true;
    this.#socket.pause();
  }

  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    this.#socket.resume();
  }
}
