import type { Writable } from "node:stream";
import type { LogOutput } from "./decisionLog.ts";

/** Writes log lines to a stream without waiting for its reader. */
export class StandardOutput implements LogOutput {
  readonly #stream: Writable;

  constructor(stream: Writable) {
    this.#stream = stream;
    // A closed pipe must not end the process.
    stream.on("error", () => {});
  }

  get pendingBytes(): number {
    return this.#stream.writableLength;
  }

  write(line: string): void {
    this.#stream.write(line);
  }
}
