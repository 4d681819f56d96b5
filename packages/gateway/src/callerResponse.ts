import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { Milliseconds } from "@wasabivane/common";
import {
  type HeaderValues,
  selectEndToEndHeaders,
  toHeaderLines,
} from "./headers.ts";
import type { Refusal, RefusalReason } from "./requestAdmission.ts";
import type { UnreadResponse, UnreadResponses } from "./unreadResponses.ts";

/** Bodies of refusals so far, by reason. */
const REFUSAL_BODIES = new Map<RefusalReason, string>();

/** Options of a {@link CallerResponse}. */
export interface CallerResponseOptions {
  /** Whether the connection is to end behind the response. */
  readonly shouldClose: () => boolean;
  readonly unreadResponses: UnreadResponses;
}

/**
 * Writes the response to one caller: either the upstream's, complete or visibly
 * truncated, or a refusal of this host, never a mixture.
 */
export class CallerResponse {
  readonly #response: ServerResponse;
  readonly #shouldClose: () => boolean;
  readonly #unreadResponses: UnreadResponses;
  /** `undefined` while the caller's connection takes what is written. */
  #unread: UnreadResponse | undefined;
  #isLast = false;

  constructor(
    response: ServerResponse,
    { shouldClose, unreadResponses }: CallerResponseOptions,
  ) {
    this.#response = response;
    this.#shouldClose = shouldClose;
    this.#unreadResponses = unreadResponses;
    response.sendDate = false;
  }

  /** Whether the caller was told that the connection ends behind the response. */
  get isLast(): boolean {
    return this.#isLast;
  }

  /** Whether the request that it responds to has been received whole. */
  get isRequestComplete(): boolean {
    return this.#response.req.complete;
  }

  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  get isFinished(): boolean {
    return this.#response.writableEnded || this.#response.destroyed;
  }

  /** Sends the status and headers of the upstream's response. */
  sendHead(status: number, headers: HeaderValues): void {
    const lines = selectEndToEndHeaders(toHeaderLines(headers));
    this.#writeHead(status, lines.flat(), this.#shouldClose());
    this.#response.flushHeaders();
  }

  /**
   * Writes body bytes; returns false when the caller's connection is congested.
   */
  write(bytes: Buffer): boolean {
    const isTaken = this.#response.write(bytes);
    if (!isTaken) this.#trackUnread().recordWrite();
    return isTaken;
  }

  /** Calls back once the write buffer has drained. */
  onDrain(callback: () => void): void {
    this.#response.once("drain", callback);
  }

  finish(): void {
    this.#end();
  }

  /**
   * Sends a complete upstream response, adding a content length where it is
   * missing.
   */
  sendComplete(status: number, headers: HeaderValues, body: Buffer): void {
    const lines = selectEndToEndHeaders(toHeaderLines(headers));
    const hasLength = lines.some(([name]) => name === "content-length");
    if (!hasLength && body.length > 0) {
      lines.push(["content-length", String(body.length)]);
    }
    this.#writeHead(status, lines.flat(), this.#shouldClose());
    this.#end(body);
  }

  /** Whether the connection ends with a refusal in any case. */
  isClosedBy({ status }: Refusal): boolean {
    return this.#shouldClose() || isUnread(status);
  }

  /**
   * Sends a refusal of this host, as the last response of the connection if
   * `isLast`.
   */
  refuse(
    refusal: Refusal,
    { isLast = false }: { isLast?: boolean } = {},
  ): void {
    const isClosing = isLast || this.isClosedBy(refusal);
    this.#end(this.#sendRefusalHead(refusal, isClosing));
  }

  /**
   * Sends a refusal as the last response of a connection on which the body is
   * still arriving, and leaves it to others to close the connection.
   */
  refuseUnread(refusal: Refusal): void {
    const body = this.#sendRefusalHead(refusal, true);
    // A response to HEAD has no body, so writing one sends nothing.
    if (this.#response.req.method === "HEAD") this.#response.flushHeaders();
    else this.#response.write(body);
  }

  #end(body?: Buffer | string): void {
    const response = this.#response;
    response.end(body);
    if (response.writableLength > 0) this.#trackUnread().recordEnd();
  }

  #trackUnread(): UnreadResponse {
    this.#unread ??= this.#unreadResponses.track(
      this.#response,
      () => this.#cutUnread(),
    );
    return this.#unread;
  }

  /** A response that waits for its turn would be kept until then. */
  #cutUnread(): void {
    this.cut();
    if (this.#response.socket === null) this.#response.req.socket.destroy();
  }

  /** Returns the body that belongs to the head. */
  #sendRefusalHead(
    { status, reason, retryAfter }: Refusal,
    isClosing: boolean,
  ): string {
    const body = refusalBody(reason);
    const lines = [
      "content-type",
      "application/json",
      "content-length",
      String(body.length),
    ];
    if (retryAfter !== undefined) {
      lines.push("retry-after", formatSeconds(retryAfter));
    }
    this.#writeHead(status, lines, isClosing);
    return body;
  }

  #writeHead(status: number, lines: string[], isLast: boolean): void {
    this.#isLast = isLast;
    if (isLast) lines.push("connection", "close");
    this.#response.writeHead(status, lines);
  }

  /**
   * Ends the connection, so that a truncated response cannot look complete. A
   * caller of HTTP/1.0 gets no chunks, and takes anything but a reset for the end.
   */
  cut(): void {
    const { req, socket } = this.#response;
    if (req.httpVersionMinor === 0) socket?.resetAndDestroy();
    this.#response.destroy();
  }
}

function refusalBody(reason: RefusalReason): string {
  const known = REFUSAL_BODIES.get(reason);
  if (known !== undefined) return known;
  const body = JSON.stringify({ reason });
  REFUSAL_BODIES.set(reason, body);
  return body;
}

/** The unread rest of such a request must not be parsed as the next one. */
function isUnread(status: number): boolean {
  return status === 408 || status === 413;
}

function formatSeconds(span: Milliseconds): string {
  return (span / 1_000).toFixed(3);
}
