import type { EngineEvent, EngineListener, EngineRequest } from "./types.ts";

/** One request inside an engine. */
export class RequestExecution {
  readonly request: EngineRequest;
  readonly listener: EngineListener;
  cachedTokens = 0;
  /** Prompt tokens still to compute. */
  remainingPrefillTokens = 0;
  /** Prompt tokens computed so far. */
  prefilledTokens = 0;
  /** Prompt tokens to compute in each step of the current span. */
  prefillChunkTokens = 0;
  generatedTokens = 0;
  /** Finished, cancelled or lost; nothing more is told about it. */
  isEnded = false;

  constructor(request: EngineRequest, listener: EngineListener) {
    this.request = request;
    this.listener = listener;
  }

  /** KV memory that the whole request takes. */
  get totalTokens(): number {
    return this.request.promptTokens + this.request.outputTokens;
  }

  get isComplete(): boolean {
    return this.generatedTokens >= this.request.outputTokens;
  }

  /** Does `steps` equal steps; the event that they give. */
  advance(steps: number): EngineEvent | undefined {
    if (this.remainingPrefillTokens === 0) {
      this.generatedTokens += steps;
      return { kind: "tokens", count: steps };
    }
    this.remainingPrefillTokens -= this.prefillChunkTokens * steps;
    this.prefilledTokens += this.prefillChunkTokens * steps;
    if (this.remainingPrefillTokens > 0) return undefined;
    this.generatedTokens = 1;
    return { kind: "firstToken", cachedTokens: this.cachedTokens };
  }
}
