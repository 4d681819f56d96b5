import { createParser } from "eventsource-parser";
import type { Nonce } from "@wasabivane/common";
import type { UpstreamError } from "./upstreamError.ts";

const END_MARKER = "[DONE]";
const MAX_EVENT_CHARACTERS = 1024 * 1024;

/** Token usage that the engine reported for a completion. */
export interface CompletionUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

/** One server-sent event of a completion, as the engine sent it. */
export interface CompletionEvent {
  readonly data: string;
  readonly isToken: boolean;
}

interface CompletionChunk {
  id?: unknown;
  choices?: { delta?: { content?: unknown }; finish_reason?: unknown }[];
  usage?: {
    "prompt_tokens"?: number;
    "completion_tokens"?: number;
    "prompt_tokens_details"?: { "cached_tokens"?: number };
  };
}

/**
 * Parses the server-sent events of one completion and checks that each carries
 * the dispatch's nonce. The stream is complete when the end marker follows a
 * chunk with a finish reason. Events after the end marker are dropped.
 */
export class CompletionStream {
  readonly #expectedId: string;
  readonly #onEvent: (event: CompletionEvent) => void;
  readonly #parser: ReturnType<typeof createParser>;
  readonly #decoder = new TextDecoder();
  #hasFinishReason = false;
  #isComplete = false;
  #resolveComplete: () => void = () => {};
  /** Resolves at the end marker. */
  readonly whenComplete: Promise<undefined> = new Promise((resolve) => {
    this.#resolveComplete = () => resolve(undefined);
  });
  #hasTrailingEvents = false;
  #tokenCount = 0;
  #usage: CompletionUsage | undefined;
  #error: UpstreamError | undefined;
  #pendingCharacters = 0;

  constructor(nonce: Nonce, onEvent: (event: CompletionEvent) => void) {
    this.#expectedId = `chatcmpl-${nonce}`;
    this.#onEvent = onEvent;
    this.#parser = createParser({ onEvent: ({ data }) => this.#onData(data) });
  }

  /** Tokens emitted so far, over all connections of this dispatch. */
  get tokenCount(): number {
    return this.#tokenCount;
  }

  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Whether the engine sent events after the end marker. */
  get hasTrailingEvents(): boolean {
    return this.#hasTrailingEvents;
  }

  get usage(): CompletionUsage | undefined {
    return this.#usage;
  }

  get error(): UpstreamError | undefined {
    return this.#error;
  }

  /** Parses bytes received from the connection. */
  feed(bytes: Uint8Array): void {
    this.#pendingCharacters += bytes.byteLength;
    if (this.#pendingCharacters > MAX_EVENT_CHARACTERS) {
      this.#fail({ kind: "malformed", detail: "An event is too long" });
      return;
    }
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
  }

  /** Discards a partial event before the stream resumes on a new connection. */
  resetParser(): void {
    this.#parser.reset();
    this.#decoder.decode();
    this.#pendingCharacters = 0;
  }

  #onData(data: string): void {
    this.#pendingCharacters = 0;
    if (this.#error !== undefined) return;
    if (this.#isComplete) {
      this.#hasTrailingEvents = true;
      return;
    }
    if (data === END_MARKER) this.#onEndMarker();
    else this.#onChunk(data);
  }

  #onEndMarker(): void {
    if (!this.#hasFinishReason) {
      this.#fail({
        kind: "malformed",
        detail: "The end mark came before a finish reason",
      });
      return;
    }
    this.#isComplete = true;
    this.#resolveComplete();
    this.#onEvent({ data: END_MARKER, isToken: false });
  }

  #onChunk(data: string): void {
    const chunk = parseChunk(data);
    if (chunk === undefined) {
      this.#fail({ kind: "malformed", detail: "An event is not valid JSON" });
      return;
    }
    if (chunk.id !== this.#expectedId) {
      this.#fail({
        kind: "not-own",
        detail: "An event carries another dispatch's id",
      });
      return;
    }
    const choice = chunk.choices?.[0];
    const isToken = typeof choice?.delta?.content === "string" &&
      choice.delta.content !== "";
    if (isToken) this.#tokenCount++;
    if (isPresent(choice?.finish_reason)) this.#hasFinishReason = true;
    if (isPresent(chunk.usage)) this.#usage = completionUsageOf(chunk.usage);
    this.#onEvent({ data, isToken });
  }

  #fail(error: UpstreamError): void {
    this.#error ??= error;
  }
}

/** Converts the `usage` object of a completion. */
export function completionUsageOf(
  usage: NonNullable<CompletionChunk["usage"]>,
): CompletionUsage {
  return {
    promptTokens: usage.prompt_tokens ?? 0,
    completionTokens: usage.completion_tokens ?? 0,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
}

function parseChunk(data: string): CompletionChunk | undefined {
  try {
    const chunk: unknown = JSON.parse(data);
    return typeof chunk === "object" && chunk !== null
      ? chunk as CompletionChunk
      : undefined;
  } catch {
    return undefined;
  }
}

function isPresent<Value>(value: Value | null | undefined): value is Value {
  return value !== null && value !== undefined;
}
