import type { EngineResponse, ResponseState } from "./engineResponse.ts";

const MAXIMUM_ENTRIES = 50_000;

/** Runs of the requests with one nonce. */
export interface LoggedRun {
  /** A value above 1 means a double dispatch. */
  readonly starts: number;
  readonly state: ResponseState;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  readonly outputTokens: number;
}

interface Entry {
  starts: number;
  latest: EngineResponse;
}

/** Records the latest runs by nonce for assertions in tests. */
export class RunLog {
  readonly #entries = new Map<string, Entry>();

  recordStart(response: EngineResponse): void {
    const { nonce } = response.request;
    const starts = (this.#entries.get(nonce)?.starts ?? 0) + 1;
    this.#entries.set(nonce, { starts, latest: response });
    if (this.#entries.size <= MAXIMUM_ENTRIES) return;
    for (const oldest of this.#entries.keys()) {
      this.#entries.delete(oldest);
      return;
    }
  }

  runsByNonce(): Record<string, LoggedRun> {
    const runs: Record<string, LoggedRun> = {};
    for (const [nonce, { starts, latest }] of this.#entries) {
      runs[nonce] = {
        starts,
        state: latest.state,
        promptTokens: latest.request.promptTokens,
        cachedTokens: latest.cachedTokens,
        generatedTokens: latest.generatedTokens,
        outputTokens: latest.outputTokens,
      };
    }
    return runs;
  }
}
