import type { RequestId } from "@wasabivane/common";
import type { BufferedResponse } from "./bufferedResponse.ts";

/** An answer of few bytes is not free either. */
const BYTES_PER_ANSWER = 2_048;

/**
 * Keeps the answers of keyed requests for resends. Running answers always
 * stay; ended ones leave in the order of their ends when together they take
 * more memory than the settings allow.
 */
export class RetainedResponses {
  readonly #maximumBytes: number;
  readonly #running = new Map<RequestId, BufferedResponse>();
  readonly #ended = new Map<
    RequestId,
    { record: BufferedResponse; bytes: number }
  >();
  #endedBytes = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Answers that have not ended. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Keeps an answer from its start on. */
  add(request: RequestId, record: BufferedResponse): void {
    this.#running.set(request, record);
  }

  /** Call when the answer ended. */
  recordEnd(request: RequestId): void {
    const record = this.#running.get(request);
    if (record === undefined) return;
    this.#running.delete(request);
    const bytes = BYTES_PER_ANSWER + record.retainedBytes;
    this.#ended.set(request, { record, bytes });
    this.#endedBytes += bytes;
    this.#evict();
  }

  /** The answer of a request, running or ended. */
  find(request: RequestId): BufferedResponse | undefined {
    return this.#running.get(request) ?? this.#ended.get(request)?.record;
  }

  #evict(): void {
    for (const [request, { bytes }] of this.#ended) {
      if (this.#endedBytes <= this.#maximumBytes) return;
      this.#ended.delete(request);
      this.#endedBytes -= bytes;
    }
  }
}
