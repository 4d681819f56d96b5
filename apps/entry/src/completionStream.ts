import { createParser } from "eventsource-parser";
import type { Nonce } from "@wasabivane/common";
import type { UpstreamError } from "./upstreamError.ts";

const END_MARK = "[DONE]";
const MAX_EVENT_CHARACTERS = 1024 * 1024;

/** What a completion reported of itself at its end. */
export interface CompletionUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

/** One token event, as the engine sent it. */
export interface CompletionEvent {
  readonly data: string;
  readonly isToken: boolean;
}

interface Chunk {
  id?: unknown;
  choices?: { delta?: { content?: unknown }; finish_reason?: unknown }[];
  usage?: {
    "prompt_tokens"?: number;
    "completion_tokens"?: number;
    "prompt_tokens_details"?: { "cached_tokens"?: number };
  };
}

/**
 * Reads the server-sent events of one completion and checks each against the
 * dispatch's nonce. The stream is whole only when a chunk with a finish reason
 * and then the end mark were seen; anything after the end mark is not passed on.
 */
export class CompletionStream {
  readonly #expectedId: string;
  readonly #onEvent: (event: CompletionEvent) => void;
  readonly #parser: ReturnType<typeof createParser>;
  readonly #decoder = new TextDecoder();
  #hasFinishReason = false;
  #isWhole = false;
  #resolveWhole: () => void = () => {};
  /** Resolves at the end mark. */
  readonly whenComplete: Promise<undefined> = new Promise((resolve) => {
    this.#resolveWhole = () => resolve(undefined);
  });
  #hasExcess = false;
  #tokens = 0;
  #usage: CompletionUsage | undefined;
  #error: UpstreamError | undefined;
  #pendingCharacters = 0;

  constructor(nonce: Nonce, onEvent: (event: CompletionEvent) => void) {
    this.#expectedId = `chatcmpl-${nonce}`;
    this.#onEvent = onEvent;
    this.#parser = createParser({ onEvent: ({ data }) => this.#onData(data) });
  }

  /** Tokens passed on so far, over all connections of this dispatch. */
  get tokenCount(): number {
    return this.#tokens;
  }

  get isComplete(): boolean {
    return this.#isWhole;
  }

  /** Whether the engine went on after the end mark. */
  get hasTrailingEvents(): boolean {
    return this.#hasExcess;
  }

  get usage(): CompletionUsage | undefined {
    return this.#usage;
  }

  get error(): UpstreamError | undefined {
    return this.#error;
  }

  /** Takes bytes off the connection. */
  feed(bytes: Uint8Array): void {
    this.#pendingCharacters += bytes.byteLength;
    if (this.#pendingCharacters > MAX_EVENT_CHARACTERS) {
      this.#fail({ kind: "malformed", detail: "An event is too long" });
      return;
    }
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
  }

  /** Forgets a half event before the stream goes on over a new connection. */
  resetParser(): void {
    this.#parser.reset();
    this.#decoder.decode();
    this.#pendingCharacters = 0;
  }

  #onData(data: string): void {
    this.#pendingCharacters = 0;
    if (this.#error !== undefined) return;
    if (this.#isWhole) {
      this.#hasExcess = true;
      return;
    }
    if (data === END_MARK) this.#onEndMark();
    else this.#onChunk(data);
  }

  #onEndMark(): void {
    if (!this.#hasFinishReason) {
      this.#fail({
        kind: "malformed",
        detail: "The end mark came before a finish reason",
      });
      return;
    }
    this.#isWhole = true;
    this.#resolveWhole();
    this.#onEvent({ data: END_MARK, isToken: false });
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
        detail: "An event's id is not this dispatch's",
      });
      return;
    }
    const choice = chunk.choices?.[0];
    const isToken = typeof choice?.delta?.content === "string" &&
      choice.delta.content !== "";
    if (isToken) this.#tokens++;
    if (isPresent(choice?.finish_reason)) this.#hasFinishReason = true;
    if (isPresent(chunk.usage)) this.#usage = completionUsageOf(chunk.usage);
    this.#onEvent({ data, isToken });
  }

  #fail(error: UpstreamError): void {
    this.#error ??= error;
  }
}

/** Reads the usage member of a completion. */
export function completionUsageOf(
  usage: NonNullable<Chunk["usage"]>,
): CompletionUsage {
  return {
    promptTokens: usage.prompt_tokens ?? 0,
    completionTokens: usage.completion_tokens ?? 0,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
}

function parseChunk(data: string): Chunk | undefined {
  try {
    const chunk: unknown = JSON.parse(data);
    return typeof chunk === "object" && chunk !== null
      ? chunk as Chunk
      : undefined;
  } catch {
    return undefined;
  }
}

function isPresent<Value>(value: Value | null | undefined): value is Value {
  return value !== null && value !== undefined;
}
