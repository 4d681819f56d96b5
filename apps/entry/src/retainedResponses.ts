import type { RequestId } from "@wasabivane/common";
import type { BufferedResponse } from "./bufferedResponse.ts";

/** Estimated overhead of a retained response. */
const OVERHEAD_BYTES = 2_048;

/**
 * Retains the responses of keyed requests for resends. Evicts ended responses,
 * oldest end first, when they exceed the memory limit; running ones stay.
 */
export class RetainedResponses {
  readonly #maximumBytes: number;
  readonly #running = new Map<RequestId, BufferedResponse>();
  readonly #ended = new Map<
    RequestId,
    { response: BufferedResponse; bytes: number }
  >();
  #endedBytes = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Number of responses that have not ended. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Adds a running response. */
  add(request: RequestId, response: BufferedResponse): void {
    this.#running.set(request, response);
  }

  /** Records that a response has ended, which makes it evictable. */
  recordEnd(request: RequestId): void {
    const response = this.#running.get(request);
    if (response === undefined) return;
    this.#running.delete(request);
    const bytes = OVERHEAD_BYTES + response.retainedBytes;
    this.#ended.set(request, { response, bytes });
    this.#endedBytes += bytes;
    this.#evict();
  }

  /** Returns the response of a request, running or ended. */
  find(request: RequestId): BufferedResponse | undefined {
    return this.#running.get(request) ?? this.#ended.get(request)?.response;
  }

  #evict(): void {
    for (const [request, { bytes }] of this.#ended) {
      if (this.#endedBytes <= this.#maximumBytes) return;
      this.#ended.delete(request);
      this.#endedBytes -= bytes;
    }
  }
}
