import type { ServerResponse } from "node:http";
import {
  createFinishEvent,
  createRoleEvent,
  createTokenEvents,
  DONE_EVENT,
  type SentResponse,
} from "./chatCompletionFormat.ts";

/** Fault that breaks the connection or ends the response early but cleanly. */
export interface ResponseInterruption {
  readonly kind: "break" | "truncate";
  /** Tokens sent before the fault. */
  readonly afterTokens: number;
}

/** Options of {@link streamResponse}. */
export interface ResponseStreamOptions {
  readonly response: SentResponse;
  readonly outgoing: ServerResponse;
  /** Tokens that the client already has. */
  readonly offset: number;
  readonly interruption?: ResponseInterruption | undefined;
  /** Fault: sends this response after the done event. */
  readonly extraResponse?: SentResponse | undefined;
}

/** Streams a response while it is generated, respecting backpressure. */
export function streamResponse(options: ResponseStreamOptions): void {
  new ResponseStream(options).start();
}

class ResponseStream {
  readonly #options: ResponseStreamOptions;
  readonly #interruptAt: number;
  #position: number;
  #isBackpressured = false;
  #isEnded = false;
  #unsubscribe: () => void = () => {};

  constructor(options: ResponseStreamOptions) {
    this.#options = options;
    this.#position = options.offset;
    this.#interruptAt = options.offset +
      (options.interruption?.afterTokens ?? Infinity);
  }

  start(): void {
    const { outgoing, response, offset } = this.#options;
    this.#unsubscribe = response.engineResponse.subscribe(() =>
      this.#sendAvailable()
    );
    outgoing.on("close", () => this.#end());
    outgoing.on("drain", () => {
      this.#isBackpressured = false;
      this.#sendAvailable();
    });
    outgoing.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-nonce": response.nonce,
    });
    outgoing.flushHeaders();
    if (offset === 0) outgoing.write(createRoleEvent(response));
    this.#sendAvailable();
  }

  #sendAvailable(): void {
    if (this.#isEnded || this.#isBackpressured) return;
    const { outgoing, response } = this.#options;
    const end = Math.min(
      response.engineResponse.generatedTokens,
      this.#interruptAt,
    );
    if (end > this.#position) {
      const events = createTokenEvents(response, {
        start: this.#position,
        end,
      });
      this.#position = end;
      this.#isBackpressured = !outgoing.write(events);
    }
    if (this.#position >= this.#interruptAt) this.#interrupt();
    else if (!this.#isBackpressured) this.#endIfDone();
  }

  #endIfDone(): void {
    const { outgoing, response, extraResponse } = this.#options;
    const { state, generatedTokens } = response.engineResponse;
    if (state === "running") return;
    this.#end();
    // Without a done event the client recognizes the response as incomplete.
    if (state !== "finished") return void outgoing.destroy();
    outgoing.write(createFinishEvent(response) + DONE_EVENT);
    if (extraResponse !== undefined) {
      const tokens = createTokenEvents(extraResponse, {
        start: 0,
        end: generatedTokens,
      });
      outgoing.write(tokens + createFinishEvent(extraResponse) + DONE_EVENT);
    }
    outgoing.end();
  }

  #interrupt(): void {
    this.#end();
    const { outgoing, interruption } = this.#options;
    if (interruption?.kind === "truncate") outgoing.end();
    // Destroys the connection only after the written data is flushed.
    else outgoing.write("", () => outgoing.destroy());
  }

  #end(): void {
    this.#isEnded = true;
    this.#unsubscribe();
  }
}
