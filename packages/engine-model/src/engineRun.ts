import type { EngineEvent, EngineListener, EngineRequest } from "./types.ts";

/** One request inside an engine. */
export class EngineRun {
  readonly request: EngineRequest;
  readonly listener: EngineListener;
  cachedTokens = 0;
  /** Prompt tokens still to compute. */
  prefillLeft = 0;
  /** Prompt tokens computed so far. */
  prefilled = 0;
  /** Prompt tokens to compute in each step of the current span. */
  chunk = 0;
  generated = 0;
  /** Finished, cancelled or lost; nothing more is told about it. */
  isGone = false;

  constructor(request: EngineRequest, listener: EngineListener) {
    this.request = request;
    this.listener = listener;
  }

  /** KV memory that the whole request takes. */
  get lengthTokens(): number {
    return this.request.promptTokens + this.request.outputTokens;
  }

  get isComplete(): boolean {
    return this.generated >= this.request.outputTokens;
  }

  /** Does `steps` equal steps; the event that they give. */
  advance(steps: number): EngineEvent | undefined {
    if (this.prefillLeft === 0) {
      this.generated += steps;
      return { kind: "tokens", count: steps };
    }
    this.prefillLeft -= this.chunk * steps;
    this.prefilled += this.chunk * steps;
    if (this.prefillLeft > 0) return undefined;
    this.generated = 1;
    return { kind: "firstToken", cachedTokens: this.cachedTokens };
  }
}
