import type { EngineResponse, ResponseState } from "./engineResponse.ts";

const MAXIMUM_NONCES = 50_000;

/** What became of the dispatches with one nonce. */
export interface LoggedRun {
  /** More than one is a double dispatch. */
  readonly starts: number;
  readonly state: ResponseState;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  readonly outputTokens: number;
}

interface Entry {
  starts: number;
  last: EngineResponse;
}

/** Remembers the latest runs by nonce, for the checks of tests. */
export class RunLog {
  readonly #entries = new Map<string, Entry>();

  recordStart(answer: EngineResponse): void {
    const { nonce } = answer.request;
    const starts = (this.#entries.get(nonce)?.starts ?? 0) + 1;
    this.#entries.set(nonce, { starts, last: answer });
    if (this.#entries.size <= MAXIMUM_NONCES) return;
    for (const oldest of this.#entries.keys()) {
      this.#entries.delete(oldest);
      return;
    }
  }

  runsByNonce(): Record<string, LoggedRun> {
    const logged: Record<string, LoggedRun> = {};
    for (const [nonce, { starts, last }] of this.#entries) {
      logged[nonce] = {
        starts,
        state: last.state,
        promptTokens: last.request.promptTokens,
        cachedTokens: last.cachedTokens,
        generatedTokens: last.generatedTokens,
        outputTokens: last.outputTokens,
      };
    }
    return logged;
  }
}
