import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { Milliseconds } from "@wasabivane/common";
import { endToEndFields, type HeaderValues, linesOfValues } from "./headers.ts";
import type { Refusal } from "./intake.ts";

/**
 * The answer to one caller. It is either the upstream's, unchanged and whole or
 * visibly cut, or one of this host's own; never a mixture.
 */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #isStopping: () => boolean;

  constructor(response: ServerResponse, isStopping: () => boolean) {
    this.#response = response;
    this.#isStopping = isStopping;
    response.sendDate = false;
  }

  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  get isOver(): boolean {
    return this.#response.writableEnded || this.#response.destroyed;
  }

  /** Sends the upstream's head. */
  start(status: number, fields: HeaderValues): void {
    const lines = endToEndFields(linesOfValues(fields));
    if (this.#isStopping()) lines.push(["connection", "close"]);
    this.#response.writeHead(status, lines.flat());
    this.#response.flushHeaders();
  }

  /** Sends bytes; false when the caller reads more slowly than they come. */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** Calls back once the caller has caught up. */
  onDrain(callback: () => void): void {
    this.#response.once("drain", callback);
  }

  finish(): void {
    this.#response.end();
  }

  /** Sends the upstream's whole answer; one that ended with its connection gets a length. */
  whole(status: number, fields: HeaderValues, body: Buffer): void {
    const lines = endToEndFields(linesOfValues(fields));
    const hasLength = lines.some(([name]) => name === "content-length");
    if (!hasLength && body.length > 0) {
      lines.push(["content-length", String(body.length)]);
    }
    if (this.#isStopping()) lines.push(["connection", "close"]);
    this.#response.writeHead(status, lines.flat());
    this.#response.end(body);
  }

  /** Sends an answer of this host's own. */
  refuse({ status, reason, retryAfter }: Refusal): void {
    const body = JSON.stringify({ reason });
    const lines = ["content-type", "application/json"];
    lines.push("content-length", String(body.length));
    if (retryAfter !== undefined) {
      lines.push("retry-after", secondsOf(retryAfter));
    }
    if (this.#isStopping() || mustClose(status)) {
      lines.push("connection", "close");
    }
    this.#response.writeHead(status, lines);
    this.#response.end(body);
  }

  /** Ends the connection, so that an answer that is not whole does not look so. */
  cut(): void {
    this.#response.destroy();
  }
}

/** The rest of such a request was not read and must not be taken for the next one. */
function mustClose(status: number): boolean {
  return status === 408 || status === 413;
}

function secondsOf(span: Milliseconds): string {
  return (span / 1_000).toFixed(3);
}
