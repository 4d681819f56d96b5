import type { ServerResponse } from "node:http";
import {
  DONE_EVENT,
  finishEvent,
  roleEvent,
  type ShownAnswer,
  tokenEvents,
} from "./chatShape.ts";

/** How an answer is cut short: its connection breaks, or it ends as if it were whole. */
export interface StreamCut {
  readonly kind: "break" | "truncate";
  readonly afterTokens: number;
}

/** Options of {@link streamAnswer}. */
export interface AnswerStreamOptions {
  readonly shown: ShownAnswer;
  readonly outgoing: ServerResponse;
  /** Tokens that the reader has already. */
  readonly offset: number;
  readonly cut?: StreamCut | undefined;
  /** An answer sent once more after the end mark, as a faulty engine would. */
  readonly second?: ShownAnswer | undefined;
}

/** Streams an answer as it grows, at the pace that the reader takes it. */
export function streamAnswer(options: AnswerStreamOptions): void {
  new AnswerStream(options).start();
}

class AnswerStream {
  readonly #options: AnswerStreamOptions;
  readonly #cutAt: number;
  #position: number;
  #isBlocked = false;
  #isEnded = false;
  #stopReading: () => void = () => {};

  constructor(options: AnswerStreamOptions) {
    this.#options = options;
    this.#position = options.offset;
    this.#cutAt = options.offset + (options.cut?.afterTokens ?? Infinity);
  }

  start(): void {
    const { outgoing, shown, offset } = this.#options;
    this.#stopReading = shown.answer.read(() => this.#advance());
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
    if (offset === 0) outgoing.write(roleEvent(shown));
    this.#advance();
  }

  #advance(): void {
    if (this.#isEnded || this.#isBlocked) return;
    const { outgoing, shown } = this.#options;
    const end = Math.min(shown.answer.generated, this.#cutAt);
    if (end > this.#position) {
      const events = tokenEvents(shown, { start: this.#position, end });
      this.#position = end;
      this.#isBlocked = !outgoing.write(events);
    }
    if (this.#position >= this.#cutAt) this.#cut();
    else if (!this.#isBlocked) this.#endWithAnswer();
  }

  #endWithAnswer(): void {
    const { outgoing, shown, second } = this.#options;
    const { state, generated } = shown.answer;
    if (state === "running") return;
    this.#end();
    // A lost or cancelled answer gets no end mark, so that it cannot pass for a whole one.
    if (state !== "finished") return void outgoing.destroy();
    outgoing.write(finishEvent(shown) + DONE_EVENT);
    if (second !== undefined) {
      const tokens = tokenEvents(second, { start: 0, end: generated });
      outgoing.write(tokens + finishEvent(second) + DONE_EVENT);
    }
    outgoing.end();
  }

  #cut(): void {
    this.#end();
    const { outgoing, cut } = this.#options;
    if (cut?.kind === "truncate") outgoing.end();
    // Destroyed only after what was written has left.
    else outgoing.write("", () => outgoing.destroy());
  }

  #end(): void {
    this.#isEnded = true;
    this.#stopReading();
  }
}
