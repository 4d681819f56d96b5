import type { Digest } from "@wasabivane/common";
import {
  answerLength,
  answerSeed,
  answerToken,
  type EngineEvent,
} from "@wasabivane/engine-model";

/** How far an answer has come; nothing changes after any but `running`. */
export type AnswerState = "running" | "finished" | "cancelled" | "lost";

/** A chat completions call as the engine takes it. */
export interface AnswerRequest {
  readonly nonce: string;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly prefixDigests: readonly Digest[];
  readonly maximumTokens: number;
}

/** One answer of the engine; it grows whether or not a connection reads it. */
export class EngineAnswer {
  /** Its id in the engine model. */
  readonly id: string;
  readonly request: AnswerRequest;
  readonly outputTokens: number;
  /** Whether the caller's maximum cut the answer. */
  readonly isBounded: boolean;
  readonly #seed: number;
  readonly #readers = new Set<() => void>();
  #state: AnswerState = "running";
  #generated = 0;
  #cachedTokens = 0;

  constructor(id: string, request: AnswerRequest) {
    this.id = id;
    this.request = request;
    this.outputTokens = answerLength(request.prompt, request.maximumTokens);
    this.isBounded = this.outputTokens < answerLength(request.prompt);
    this.#seed = answerSeed(request.prompt);
  }

  get state(): AnswerState {
    return this.#state;
  }

  get generated(): number {
    return this.#generated;
  }

  get cachedTokens(): number {
    return this.#cachedTokens;
  }

  get isRead(): boolean {
    return this.#readers.size > 0;
  }

  token(index: number): string {
    return answerToken(this.#seed, index);
  }

  /** Calls back after each change; the returned function ends that. */
  read(onChange: () => void): () => void {
    this.#readers.add(onChange);
    return () => this.#readers.delete(onChange);
  }

  /** Takes in what the engine did. */
  apply(event: EngineEvent): void {
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
