import type { EngineEvent, EngineListener, EngineRequest } from "./types.ts";

/** Progress of one request in an engine. */
export class RequestExecution {
  readonly request: EngineRequest;
  readonly listener: EngineListener;
  cachedTokens = 0;
  remainingPrefillTokens = 0;
  /** Prompt tokens computed so far, without the cached ones. */
  prefilledTokens = 0;
  /** Prompt tokens to compute in each scheduled step. */
  prefillChunkTokens = 0;
  generatedTokens = 0;
  /**
   * Whether the request has finished, was cancelled, or was lost in a crash of
   * the engine; no events follow.
   */
  isEnded = false;

  constructor(request: EngineRequest, listener: EngineListener) {
    this.request = request;
    this.listener = listener;
  }

  /** KV cache capacity that prompt and output need, in tokens. */
  get requiredKvTokens(): number {
    return this.request.promptTokens + this.request.outputTokens;
  }

  /** Whether all output tokens have been generated. */
  get isComplete(): boolean {
    return this.generatedTokens >= this.request.outputTokens;
  }

  /** Runs `steps` equal steps and returns the resulting event. */
  advance(steps: number): EngineEvent | undefined {
    if (this.remainingPrefillTokens === 0) {
      this.generatedTokens += steps;
      return { kind: "tokens", count: steps };
    }
    this.remainingPrefillTokens -= this.prefillChunkTokens * steps;
    this.prefilledTokens += this.prefillChunkTokens * steps;
    if (this.remainingPrefillTokens > 0) return undefined;
    // The last prefill step also generates the first token.
    this.generatedTokens = 1;
    return { kind: "firstToken", cachedTokens: this.cachedTokens };
  }
}
