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
  ANSWER_PIECE,
  ANSWER_READ,
  type AnswerPiece,
  type AnswerRead,
  sendMessage,
  subscribeMessage,
} from "@wasabivane/coordination";
import type { AnswerEnd, AnswerRecord, AnswerStep } from "./answerRecord.ts";
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
export interface AnswerRelayOptions {
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  /** The record of a keyed request that this host owns. */
  readonly recordOf: (request: RequestId) => AnswerRecord | undefined;
}

/** How a relayed answer came to its end. */
export type RelayEnd = "ended" | "owner-lost" | "not-kept";

interface Relay {
  readonly owner: HostId;
  readonly request: RequestId;
  readonly record: AnswerRecord;
  readonly finish: (end: RelayEnd) => void;
  position: number;
  retries: number;
  retry: TimerSubscription | undefined;
}

/**
 * Carries an answer from the host that owns its key to the host that the
 * caller's resend reached. The reader pulls piece by piece, so a slow caller
 * holds nothing up but itself and a lost message is asked for again.
 */
export class AnswerRelay extends Controller {
  readonly #options: AnswerRelayOptions;
  readonly #relays = new Map<RequestId, Set<Relay>>();
  readonly #subscriptions: (() => void)[] = [];

  constructor(options: AnswerRelayOptions) {
    super();
    this.#options = options;
  }

  override start(): void {
    const { link } = this.#options;
    this.#subscriptions.push(
      subscribeMessage(
        link,
        ANSWER_READ,
        (from, body) => this.#onRead(from, body),
      ),
      subscribeMessage(
        link,
        ANSWER_PIECE,
        (from, body) => this.#onPiece(from, body),
      ),
    );
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    for (const relays of this.#relays.values()) {
      for (const relay of relays) relay.retry?.cancel();
    }
  }

  /**
   * Copies the answer of a request owned by a peer into a record of this host,
   * from where the record stands: a relay that was lost for a while goes on, and
   * the caller gets no part twice.
   */
  follow(
    { owner, request, record }: {
      owner: HostId;
      request: RequestId;
      record: AnswerRecord;
    },
  ): Promise<RelayEnd> {
    return new Promise((resolve) => {
      const relay: Relay = {
        owner,
        request,
        record,
        position: record.length,
        retries: 0,
        retry: undefined,
        finish: (end) => {
          relay.retry?.cancel();
          this.#relays.get(request)?.delete(relay);
          resolve(end);
        },
      };
      const relays = this.#relays.get(request) ?? new Set();
      this.#relays.set(request, relays.add(relay));
      this.#read(relay);
    });
  }

  #read(relay: Relay): void {
    const { link, timer } = this.#options;
    const { owner, request, position } = relay;
    sendMessage(link, ANSWER_READ, { to: owner, body: { request, position } });
    relay.retry?.cancel();
    relay.retry = timer.after(RETRY_MS, () => {
      relay.retries++;
      if (relay.retries > MAX_RETRIES) relay.finish("owner-lost");
      else this.#read(relay);
    });
  }

  #onPiece(from: HostId, piece: AnswerPiece): void {
    for (const relay of [...this.#relays.get(piece.request) ?? []]) {
      if (relay.owner === from && relay.position === piece.position) {
        this.#take(relay, piece);
      }
    }
  }

  #take(relay: Relay, piece: AnswerPiece): void {
    relay.retries = 0;
    if (!piece.isKept) {
      relay.finish("not-kept");
      return;
    }
    const { record } = relay;
    if (piece.status !== undefined) {
      record.begin({ status: piece.status, headers: headersOf(piece) });
      relay.position++;
    }
    for (const part of piece.parts) record.append(part);
    relay.position += piece.parts.length;
    if (piece.end !== undefined) {
      record.finish(parseEnd(piece.end));
      relay.finish("ended");
      return;
    }
    relay.retry?.cancel();
    void record.whenRoom().then(() => this.#read(relay));
  }

  #onRead(from: HostId, { request, position }: AnswerRead): void {
    const record = this.#options.recordOf(request);
    if (record === undefined || !record.canReplay) {
      this.#reply(from, { request, position, isKept: false, parts: [] });
      return;
    }
    if (record.stepAt(position) !== undefined) {
      this.#reply(from, pieceOf(record, { request, position }));
      return;
    }
    this.#holdUntilNews(record, { request, position, from });
  }

  #holdUntilNews(
    record: AnswerRecord,
    { request, position, from }: AnswerRead & { from: HostId },
  ): void {
    let isSent = false;
    const send = (): void => {
      if (isSent) return;
      isSent = true;
      held.cancel();
      reader?.close();
      this.#reply(from, pieceOf(record, { request, position }));
    };
    const held = this.#options.timer.after(HOLD_MS, send);
    const reader = record.openAt(position);
    void reader?.next().then(send);
  }

  #reply(to: HostId, body: AnswerPiece): void {
    this.#options.metrics.count("answer.piece_sent");
    sendMessage(this.#options.link, ANSWER_PIECE, { to, body });
  }
}

function pieceOf(
  record: AnswerRecord,
  { request, position }: AnswerRead,
): AnswerPiece {
  const parts: Uint8Array[] = [];
  let head: Partial<AnswerPiece> = {};
  let end: Partial<AnswerPiece> = {};
  let bytes = 0;
  let at = position;
  while (bytes < MAX_PIECE_BYTES && parts.length < MAX_PIECE_PARTS) {
    const step: AnswerStep | undefined = record.stepAt(at);
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
  return { request, position, isKept: true, parts, ...head, ...end };
}

function headersOf({ headers = [] }: AnswerPiece): Record<string, string> {
  return Object.fromEntries(headers.map(({ name, value }) => [name, value]));
}

function parseEnd(text: string): AnswerEnd {
  try {
    return JSON.parse(text) as AnswerEnd;
  } catch {
    return { kind: "failed", problem: problemOf("answer-broken") };
  }
}

/** How long after its last reader left a keyed request goes on for a resend. */
export const RESEND_GRACE_MS: Milliseconds = 15_000;
