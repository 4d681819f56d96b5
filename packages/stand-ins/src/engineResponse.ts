import type { Digest } from "@wasabivane/common";
import {
  type EngineEvent,
  responseLength,
  responseSeed,
  responseToken,
} from "@wasabivane/engine-model";

/** How far an answer has come; nothing changes after any but `running`. */
export type ResponseState = "running" | "finished" | "cancelled" | "lost";

/** A chat completions call as the engine takes it. */
export interface CompletionRequest {
  readonly nonce: string;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly prefixDigests: readonly Digest[];
  readonly maximumTokens: number;
}

/** One answer of the engine; it grows whether or not a connection reads it. */
export class EngineResponse {
  /** Its id in the engine model. */
  readonly id: string;
  readonly request: CompletionRequest;
  readonly outputTokens: number;
  /** Whether the caller's maximum cut the answer. */
  readonly isLengthLimited: boolean;
  readonly #seed: number;
  readonly #readers = new Set<() => void>();
  #state: ResponseState = "running";
  #generated = 0;
  #cachedTokens = 0;

  constructor(id: string, request: CompletionRequest) {
    this.id = id;
    this.request = request;
    this.outputTokens = responseLength(request.prompt, request.maximumTokens);
    this.isLengthLimited = this.outputTokens < responseLength(request.prompt);
    this.#seed = responseSeed(request.prompt);
  }

  get state(): ResponseState {
    return this.#state;
  }

  get generatedTokens(): number {
    return this.#generated;
  }

  get cachedTokens(): number {
    return this.#cachedTokens;
  }

  get hasReaders(): boolean {
    return this.#readers.size > 0;
  }

  tokenAt(index: number): string {
    return responseToken(this.#seed, index);
  }

  /** Calls back after each change; the returned function ends that. */
  subscribe(onChange: () => void): () => void {
    this.#readers.add(onChange);
    return () => this.#readers.delete(onChange);
  }

  /** Takes in what the engine did. */
  applyEvent(event: EngineEvent): void {
    if (event.kind === "firstToken") {
      this.#cachedTokens = event.cachedTokens;
      this.#generated = 1;
    }
    if (event.kind === "tokens") this.#generated += event.count;
    if (event.kind === "finished") this.#state = "finished";
    if (event.kind === "lost") this.#state = "lost";
    this.#tell();
  }

  cancel(): void {
    this.#state = "cancelled";
    this.#tell();
  }

  #tell(): void {
    for (const onChange of [...this.#readers]) onChange();
  }
}
