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

/** Bytes of parts in one message; far below the largest frame. */
const MAX_PIECE_BYTES = 256 * 1024;
const MAX_PIECE_PARTS = 512;
/** The owner answers within this, with an empty piece when nothing is new. */
const HOLD_MS = 500;
const RETRY_MS = 1_000;
/** Unanswered reads after which the owner counts as lost. */
const MAX_RETRIES = 3;

/** What the relay needs from its process. */
export interface ResponseRelayOptions {
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  /** The record of a keyed request that this host owns. */
  readonly findResponse: (request: RequestId) => BufferedResponse | undefined;
}

/** How a relayed answer came to its end. */
export type RelayResult = "ended" | "owner-lost" | "not-kept";

interface Relay {
  readonly owner: HostId;
  readonly request: RequestId;
  readonly record: BufferedResponse;
  readonly finish: (end: RelayResult) => void;
  position: number;
  /** The read that waits for its piece; none while the reader has no room. */
  read: number | undefined;
  retries: number;
  retry: TimerSubscription | undefined;
}

/**
 * Carries an answer from the host that owns its key to the host that the
 * caller's resend reached. The reader pulls piece by piece, so a slow caller
 * holds nothing up but itself and a lost message is asked for again.
 */
export class ResponseRelay extends Controller {
  readonly #options: ResponseRelayOptions;
  /**
   * Relays by the read that each waits for. A piece answers one read and no
   * other: when pieces were matched by request alone, two resends through one
   * host each took the other's piece and read on, and the reads doubled with
   * every piece until the host ran out of memory.
   */
  readonly #relays = new Map<number, Relay>();
  #reads = 0;
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
        (from, body) => this.#onRead(from, body),
      ),
      subscribeMessage(
        link,
        RESPONSE_CHUNK,
        (from, body) => this.#onPiece(from, body),
      ),
    );
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    for (const relay of this.#relays.values()) relay.retry?.cancel();
  }

  /**
   * Copies the answer of a request owned by a peer into a record of this host,
   * from where the record stands: a relay that was lost for a while goes on, and
   * the caller gets no part twice.
   */
  copyResponse(
    { owner, request, record }: {
      owner: HostId;
      request: RequestId;
      record: BufferedResponse;
    },
  ): Promise<RelayResult> {
    return new Promise((resolve) => {
      const relay: Relay = {
        owner,
        request,
        record,
        position: record.itemCount,
        read: undefined,
        retries: 0,
        retry: undefined,
        finish: (end) => {
          this.#endRead(relay);
          resolve(end);
        },
      };
      this.#read(relay);
    });
  }

  #read(relay: Relay): void {
    const { link, timer } = this.#options;
    const { owner, request, position } = relay;
    this.#endRead(relay);
    this.#reads++;
    const read = this.#reads;
    relay.read = read;
    this.#relays.set(read, relay);
    const body: ResponseReadRequest = { request, read, position };
    sendMessage(link, RESPONSE_READ_REQUEST, { to: owner, body });
    relay.retry = timer.after(RETRY_MS, () => {
      relay.retries++;
      if (relay.retries > MAX_RETRIES) relay.finish("owner-lost");
      else this.#read(relay);
    });
  }

  /** A piece that comes later, or a second time, finds no relay any more. */
  #endRead(relay: Relay): void {
    relay.retry?.cancel();
    if (relay.read !== undefined) this.#relays.delete(relay.read);
    relay.read = undefined;
  }

  #onPiece(from: HostId, piece: ResponseChunk): void {
    const relay = this.#relays.get(piece.read);
    if (relay === undefined || relay.owner !== from) return;
    this.#endRead(relay);
    this.#take(relay, piece);
  }

  #take(relay: Relay, piece: ResponseChunk): void {
    relay.retries = 0;
    if (!piece.isKept) {
      relay.finish("not-kept");
      return;
    }
    const { record } = relay;
    if (piece.status !== undefined) {
      record.writeHead({ status: piece.status, headers: headersOf(piece) });
      relay.position++;
    }
    for (const part of piece.parts) record.append(part);
    relay.position += piece.parts.length;
    if (piece.end !== undefined) {
      record.finish(parseEnd(piece.end));
      relay.finish("ended");
      return;
    }
    void record.whenWritable().then(() => this.#read(relay));
  }

  #onRead(from: HostId, asked: ResponseReadRequest): void {
    const { request, position } = asked;
    const record = this.#options.findResponse(request);
    if (record === undefined || !record.canReplay) {
      this.#reply(from, { ...asked, isKept: false, parts: [] });
      return;
    }
    if (record.itemAt(position) !== undefined) {
      this.#reply(from, pieceOf(record, asked));
      return;
    }
    this.#holdUntilNews(record, { asked, from });
  }

  #holdUntilNews(
    record: BufferedResponse,
    { asked, from }: { asked: ResponseReadRequest; from: HostId },
  ): void {
    let isSent = false;
    const send = (): void => {
      if (isSent) return;
      isSent = true;
      held.cancel();
      reader?.close();
      this.#reply(from, pieceOf(record, asked));
    };
    const held = this.#options.timer.after(HOLD_MS, send);
    const reader = record.openReaderAt(asked.position);
    void reader?.next().then(send);
  }

  #reply(to: HostId, body: ResponseChunk): void {
    this.#options.metrics.count("answer.piece_sent");
    sendMessage(this.#options.link, RESPONSE_CHUNK, { to, body });
  }
}

function pieceOf(
  record: BufferedResponse,
  asked: ResponseReadRequest,
): ResponseChunk {
  const parts: Uint8Array[] = [];
  let head: Partial<ResponseChunk> = {};
  let end: Partial<ResponseChunk> = {};
  let bytes = 0;
  let at = asked.position;
  while (bytes < MAX_PIECE_BYTES && parts.length < MAX_PIECE_PARTS) {
    const step: ResponseItem | undefined = record.itemAt(at);
    if (step === undefined) break;
    if (step.kind === "end") {
      end = { end: JSON.stringify(step.end) };
      break;
    }
    if (step.kind === "head") {
      const headers = Object.entries(step.head.headers).map((
        [name, value],
      ) => ({ name, value }));
      head = { status: step.head.status, headers };
    } else {
      parts.push(step.part);
      bytes += step.part.byteLength;
    }
    at++;
  }
  return { ...asked, isKept: true, parts, ...head, ...end };
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

/** How long after its last reader left a keyed request goes on for a resend. */
export const RESEND_GRACE_MS: Milliseconds = 15_000;
