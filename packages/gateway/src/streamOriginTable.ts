import type { Milliseconds, RequestId, ServiceId } from "@wasabivane/common";
import type { SoftwareVersion } from "@wasabivane/admission";

/** Where the first event of a stream came from. */
export interface StreamOrigin {
  readonly service: ServiceId;
  readonly softwareVersion: SoftwareVersion;
}

interface Entry {
  readonly origin: StreamOrigin;
  readonly recordedAt: Milliseconds;
}

/** Bounds the memory for origins; the oldest are dropped first. */
const MAXIMUM_ENTRIES = 50_000;

/** Origins of streams by the request that brought their first event. */
export class StreamOriginTable {
  readonly #entries = new Map<RequestId, Entry>();

  get(request: RequestId): StreamOrigin | undefined {
    return this.#entries.get(request)?.origin;
  }

  set(request: RequestId, origin: StreamOrigin, now: Milliseconds): void {
    // Keeps the entries in order of time.
    this.#entries.delete(request);
    this.#entries.set(request, { origin, recordedAt: now });
    if (this.#entries.size <= MAXIMUM_ENTRIES) return;
    const [oldest] = this.#entries.keys();
    this.#entries.delete(oldest!);
  }

  delete(request: RequestId): void {
    this.#entries.delete(request);
  }

  /** Drops the entries that were recorded before a time. */
  expire(before: Milliseconds): void {
    for (const [request, { recordedAt }] of this.#entries) {
      if (recordedAt >= before) return;
      this.#entries.delete(request);
    }
  }

  get size(): number {
    return this.#entries.size;
  }

  entries(): [RequestId, StreamOrigin][] {
    return [...this.#entries].map(([request, { origin }]) => [request, origin]);
  }
}
