import {
  Controller,
  type HostId,
  type Metrics,
  type Milliseconds,
  type PeerLink,
  type RequestId,
  type Timer,
  type TimerSubscription,
} from "@wasabivane/common";
import {
  RESPONSE_CHUNK,
  RESPONSE_READ_REQUEST,
  type ResponseChunk,
  type ResponseReadRequest,
  sendMessage,
  subscribeMessage,
} from "@wasabivane/coordination";
import type {
  BufferedResponse,
  ResponseEnd,
  ResponseItem,
} from "./bufferedResponse.ts";
import { problemOf } from "./problem.ts";

/** Body bytes per chunk, well below the maximum frame size. */
const MAX_CHUNK_BYTES = 256 * 1024;
const MAX_CHUNK_PARTS = 512;
/** The owner replies within this time, with an empty chunk if need be. */
const LONG_POLL_MS = 500;
const READ_TIMEOUT_MS = 1_000;
/** Unanswered reads after which the owner is considered lost. */
const MAX_RETRIES = 3;

/** Options of a {@link ResponseRelay}. */
export interface ResponseRelayOptions {
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  /** Finds the response of a keyed request that this host owns. */
  readonly findResponse: (request: RequestId) => BufferedResponse | undefined;
}

/** Result of copying a response from its owner. */
export type RelayResult = "ended" | "owner-lost" | "not-kept";

interface Relay {
  readonly owner: HostId;
  readonly request: RequestId;
  readonly response: BufferedResponse;
  readonly finish: (end: RelayResult) => void;
  position: number;
  /**
   * Number of the pending read; undefined while the reader's buffer is full.
   */
  pendingRead: number | undefined;
  retries: number;
  retryTimer: TimerSubscription | undefined;
}

/**
 * Copies a response from the host that owns its key to the host that received
 * the caller's resend. The receiving host pulls chunk by chunk, which limits
 * buffering for slow callers, and repeats reads that get no reply.
 */
export class ResponseRelay extends Controller {
  readonly #options: ResponseRelayOptions;
  /**
   * Relays by the number of their pending read. Chunks are matched by read, not
   * by request, since several resends of one request may be relayed at once and
   * would otherwise consume each other's chunks.
   */
  readonly #relaysByRead = new Map<number, Relay>();
  #lastRead = 0;
  readonly #subscriptions: (() => void)[] = [];

  constructor(options: ResponseRelayOptions) {
    super();
    this.#options = options;
  }

  override start(): void {
    const { link } = this.#options;
    this.#subscriptions.push(
      subscribeMessage(
        link,
        RESPONSE_READ_REQUEST,
        (from, body) => this.#onReadRequest(from, body),
      ),
      subscribeMessage(
        link,
        RESPONSE_CHUNK,
        (from, body) => this.#onChunk(from, body),
      ),
    );
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    for (const relay of this.#relaysByRead.values()) relay.retryTimer?.cancel();
  }

  /**
   * Copies the response of a request owned by a peer into a local one. Starts
   * after the items that the local one has already, so that no part is
   * repeated.
   */
  copyResponse(
    { owner, request, response }: {
      owner: HostId;
      request: RequestId;
      response: BufferedResponse;
    },
  ): Promise<RelayResult> {
    return new Promise((resolve) => {
      const relay: Relay = {
        owner,
        request,
        response,
        position: response.itemCount,
        pendingRead: undefined,
        retries: 0,
        retryTimer: undefined,
        finish: (end) => {
          this.#endRead(relay);
          resolve(end);
        },
      };
      this.#sendRead(relay);
    });
  }

  #sendRead(relay: Relay): void {
    const { link, timer } = this.#options;
    const { owner, request, position } = relay;
    this.#endRead(relay);
    this.#lastRead++;
    const read = this.#lastRead;
    relay.pendingRead = read;
    this.#relaysByRead.set(read, relay);
    const body: ResponseReadRequest = { request, read, position };
    sendMessage(link, RESPONSE_READ_REQUEST, { to: owner, body });
    relay.retryTimer = timer.after(READ_TIMEOUT_MS, () => {
      relay.retries++;
      if (relay.retries > MAX_RETRIES) relay.finish("owner-lost");
      else this.#sendRead(relay);
    });
  }

  /** Ends the pending read; late and duplicate chunks for it are ignored. */
  #endRead(relay: Relay): void {
    relay.retryTimer?.cancel();
    if (relay.pendingRead !== undefined) {
      this.#relaysByRead.delete(relay.pendingRead);
    }
    relay.pendingRead = undefined;
  }

  #onChunk(from: HostId, chunk: ResponseChunk): void {
    const relay = this.#relaysByRead.get(chunk.read);
    if (relay === undefined || relay.owner !== from) return;
    this.#endRead(relay);
    this.#applyChunk(relay, chunk);
  }

  #applyChunk(relay: Relay, chunk: ResponseChunk): void {
    relay.retries = 0;
    if (!chunk.isKept) {
      relay.finish("not-kept");
      return;
    }
    const { response } = relay;
    if (chunk.status !== undefined) {
      response.writeHead({ status: chunk.status, headers: headersOf(chunk) });
      relay.position++;
    }
    for (const part of chunk.parts) response.append(part);
    relay.position += chunk.parts.length;
    if (chunk.end !== undefined) {
      response.finish(parseEnd(chunk.end));
      relay.finish("ended");
      return;
    }
    void response.whenWritable().then(() => this.#sendRead(relay));
  }

  #onReadRequest(from: HostId, readRequest: ResponseReadRequest): void {
    const { request, position } = readRequest;
    const response = this.#options.findResponse(request);
    if (response === undefined || !response.canReplay) {
      this.#reply(from, { ...readRequest, isKept: false, parts: [] });
      return;
    }
    if (response.itemAt(position) !== undefined) {
      this.#reply(from, createChunk(response, readRequest));
      return;
    }
    this.#replyWhenAvailable(response, { readRequest, from });
  }

  #replyWhenAvailable(
    response: BufferedResponse,
    { readRequest, from }: { readRequest: ResponseReadRequest; from: HostId },
  ): void {
    let isSent = false;
    const send = (): void => {
      if (isSent) return;
      isSent = true;
      timeout.cancel();
      reader?.close();
      this.#reply(from, createChunk(response, readRequest));
    };
    const timeout = this.#options.timer.after(LONG_POLL_MS, send);
    const reader = response.openReaderAt(readRequest.position);
    void reader?.next().then(send);
  }

  #reply(to: HostId, body: ResponseChunk): void {
    this.#options.metrics.count("answer.piece_sent");
    sendMessage(this.#options.link, RESPONSE_CHUNK, { to, body });
  }
}

function createChunk(
  response: BufferedResponse,
  readRequest: ResponseReadRequest,
): ResponseChunk {
  const parts: Uint8Array[] = [];
  let head: Partial<ResponseChunk> = {};
  let end: Partial<ResponseChunk> = {};
  let bytes = 0;
  let position = readRequest.position;
  while (bytes < MAX_CHUNK_BYTES && parts.length < MAX_CHUNK_PARTS) {
    const item: ResponseItem | undefined = response.itemAt(position);
    if (item === undefined) break;
    if (item.kind === "end") {
      end = { end: JSON.stringify(item.end) };
      break;
    }
    if (item.kind === "head") {
      const headers = Object.entries(item.head.headers).map((
        [name, value],
      ) => ({ name, value }));
      head = { status: item.head.status, headers };
    } else {
      parts.push(item.part);
      bytes += item.part.byteLength;
    }
    position++;
  }
  return { ...readRequest, isKept: true, parts, ...head, ...end };
}

function headersOf({ headers = [] }: ResponseChunk): Record<string, string> {
  return Object.fromEntries(headers.map(({ name, value }) => [name, value]));
}

function parseEnd(text: string): ResponseEnd {
  try {
    return JSON.parse(text) as ResponseEnd;
  } catch {
    return { kind: "failed", problem: problemOf("answer-broken") };
  }
}

/** How long a keyed request without readers continues, in case of a resend. */
export const RESEND_GRACE_MS: Milliseconds = 15_000;
