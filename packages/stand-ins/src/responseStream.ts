import type { ServerResponse } from "node:http";
import {
  createFinishEvent,
  createRoleEvent,
  createTokenEvents,
  DONE_EVENT,
  type SentResponse,
} from "./chatCompletionFormat.ts";

/** How an answer is cut short: its connection breaks, or it ends as if it were whole. */
export interface ResponseInterruption {
  readonly kind: "break" | "truncate";
  readonly afterTokens: number;
}

/** Options of {@link streamResponse}. */
export interface ResponseStreamOptions {
  readonly response: SentResponse;
  readonly outgoing: ServerResponse;
  /** Tokens that the reader has already. */
  readonly offset: number;
  readonly interruption?: ResponseInterruption | undefined;
  /** An answer sent once more after the end mark, as a faulty engine would. */
  readonly extraResponse?: SentResponse | undefined;
}

/** Streams an answer as it grows, at the pace that the reader takes it. */
export function streamResponse(options: ResponseStreamOptions): void {
  new AnswerStream(options).start();
}

class AnswerStream {
  readonly #options: ResponseStreamOptions;
  readonly #cutAt: number;
  #position: number;
  #isBlocked = false;
  #isEnded = false;
  #stopReading: () => void = () => {};

  constructor(options: ResponseStreamOptions) {
    this.#options = options;
    this.#position = options.offset;
    this.#cutAt = options.offset +
      (options.interruption?.afterTokens ?? Infinity);
  }

  start(): void {
    const { outgoing, response: shown, offset } = this.#options;
    this.#stopReading = shown.response.subscribe(() => this.#advance());
    outgoing.on("close", () => this.#end());
    outgoing.on("drain", () => {
      this.#isBlocked = false;
      this.#advance();
    });
    outgoing.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-nonce": shown.nonce,
    });
    outgoing.flushHeaders();
    if (offset === 0) outgoing.write(createRoleEvent(shown));
    this.#advance();
  }

  #advance(): void {
    if (this.#isEnded || this.#isBlocked) return;
    const { outgoing, response: shown } = this.#options;
    const end = Math.min(shown.response.generatedTokens, this.#cutAt);
    if (end > this.#position) {
      const events = createTokenEvents(shown, { start: this.#position, end });
      this.#position = end;
      this.#isBlocked = !outgoing.write(events);
    }
    if (this.#position >= this.#cutAt) this.#cut();
    else if (!this.#isBlocked) this.#endWithAnswer();
  }

  #endWithAnswer(): void {
    const { outgoing, response: shown, extraResponse: second } = this.#options;
    const { state, generatedTokens: generated } = shown.response;
    if (state === "running") return;
    this.#end();
    // A lost or cancelled answer gets no end mark, so that it cannot pass for a whole one.
    if (state !== "finished") return void outgoing.destroy();
    outgoing.write(createFinishEvent(shown) + DONE_EVENT);
    if (second !== undefined) {
      const tokens = createTokenEvents(second, { start: 0, end: generated });
      outgoing.write(tokens + createFinishEvent(second) + DONE_EVENT);
    }
    outgoing.end();
  }

  #cut(): void {
    this.#end();
    const { outgoing, interruption: cut } = this.#options;
    if (cut?.kind === "truncate") outgoing.end();
    // Destroyed only after what was written has left.
    else outgoing.write("", () => outgoing.destroy());
  }

  #end(): void {
    this.#isEnded = true;
    this.#stopReading();
  }
}
