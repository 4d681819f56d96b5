import type { Digest } from "@wasabivane/common";
import {
  type EngineEvent,
  responseLength,
  responseSeed,
  responseToken,
} from "@wasabivane/engine-model";

/** State of a response; every state but `running` is final. */
export type ResponseState = "running" | "finished" | "cancelled" | "lost";

/** Completion request to an engine. */
export interface CompletionRequest {
  readonly nonce: string;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly prefixDigests: readonly Digest[];
  readonly maximumTokens: number;
}

/** Response of an engine; generation does not depend on a connected client. */
export class EngineResponse {
  /** Id in the engine model. */
  readonly id: string;
  readonly request: CompletionRequest;
  readonly outputTokens: number;
  /** Whether the request's token limit shortens the response. */
  readonly isLengthLimited: boolean;
  readonly #seed: number;
  readonly #subscribers = new Set<() => void>();
  #state: ResponseState = "running";
  #generatedTokens = 0;
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
    return this.#generatedTokens;
  }

  get cachedTokens(): number {
    return this.#cachedTokens;
  }

  /** Whether anything is subscribed. */
  get hasSubscribers(): boolean {
    return this.#subscribers.size > 0;
  }

  tokenAt(index: number): string {
    return responseToken(this.#seed, index);
  }

  /** Calls `onChange` after each change; returns a function to unsubscribe. */
  subscribe(onChange: () => void): () => void {
    this.#subscribers.add(onChange);
    return () => this.#subscribers.delete(onChange);
  }

  /** Updates the response with an engine event. */
  applyEvent(event: EngineEvent): void {
    if (event.kind === "firstToken") {
      this.#cachedTokens = event.cachedTokens;
      this.#generatedTokens = 1;
    }
    if (event.kind === "tokens") this.#generatedTokens += event.count;
    if (event.kind === "finished") this.#state = "finished";
    if (event.kind === "lost") this.#state = "lost";
    this.#notifySubscribers();
  }

  cancel(): void {
    this.#state = "cancelled";
    this.#notifySubscribers();
  }

  #notifySubscribers(): void {
    for (const onChange of [...this.#subscribers]) onChange();
  }
}
