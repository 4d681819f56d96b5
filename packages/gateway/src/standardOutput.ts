import type { Writable } from "node:stream";
import type { LogOutput } from "./decisionLog.ts";

/** Standard output, written without waiting for its reader. */
export class StandardOutput implements LogOutput {
  readonly #stream: Writable;

  constructor(stream: Writable) {
    this.#stream = stream;
    // A reader that goes away must not end the process.
    stream.on("error", () => {});
  }

  get pendingBytes(): number {
    return this.#stream.writableLength;
  }

  write(line: string): void {
    this.#stream.write(line);
  }
}
