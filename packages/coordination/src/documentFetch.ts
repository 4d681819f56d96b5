import type { HostId, Milliseconds } from "@wasabivane/common";
import {
  type DocumentChunk,
  type DocumentRequest,
  MAX_CHUNKS,
} from "./configurationMessages.ts";

/** Time without progress after which a fetch is retried from another peer. */
export const FETCH_TIMEOUT_MS: Milliseconds = 400;

/** Identifies a document. */
export type DocumentReference = Omit<DocumentRequest, "index">;

/** Result of adding a chunk. */
export type FetchProgress =
  | { readonly kind: "ignored" }
  | { readonly kind: "missing" }
  | { readonly kind: "more"; readonly requests: readonly DocumentRequest[] }
  | { readonly kind: "whole"; readonly text: string };

/** Collects the chunks of one document from one peer. */
export class DocumentFetch {
  readonly peer: HostId;
  readonly wanted: DocumentReference;
  readonly #chunks = new Map<number, string>();
  #progressAt: Milliseconds;
  #count: number | undefined;

  constructor(
    { peer, wanted, now }: {
      peer: HostId;
      wanted: DocumentReference;
      now: Milliseconds;
    },
  ) {
    this.peer = peer;
    this.wanted = wanted;
    this.#progressAt = now;
  }

  /** Returns the request for the first chunk. */
  firstRequest(): DocumentRequest {
    return { ...this.wanted, index: 0 };
  }

  hasTimedOut(now: Milliseconds): boolean {
    return now - this.#progressAt >= FETCH_TIMEOUT_MS;
  }

  addChunk(
    from: HostId,
    { chunk, now }: { chunk: DocumentChunk; now: Milliseconds },
  ): FetchProgress {
    if (from !== this.peer || !this.#matches(chunk)) {
      return { kind: "ignored" };
    }
    if (chunk.count === 0 || chunk.count > MAX_CHUNKS) {
      return { kind: "missing" };
    }
    if (this.#count !== undefined && this.#count !== chunk.count) {
      return { kind: "missing" };
    }
    if (!isValidIndex(chunk.index, chunk.count)) return { kind: "ignored" };
    const isFirstChunk = this.#count === undefined;
    this.#count = chunk.count;
    this.#chunks.set(chunk.index, chunk.text);
    this.#progressAt = now;
    if (this.#chunks.size === chunk.count) {
      return { kind: "whole", text: this.#joinChunks(chunk.count) };
    }
    return {
      kind: "more",
      requests: isFirstChunk ? this.#requestsForMissing(chunk) : [],
    };
  }

  #matches(chunk: DocumentChunk): boolean {
    const { document, version, root, fromRoot } = this.wanted;
    return chunk.document === document && chunk.version === version &&
      chunk.root === root && chunk.fromRoot === fromRoot;
  }

  #requestsForMissing({ count }: DocumentChunk): DocumentRequest[] {
    const requests: DocumentRequest[] = [];
    for (let index = 0; index < count; index++) {
      if (!this.#chunks.has(index)) requests.push({ ...this.wanted, index });
    }
    return requests;
  }

  #joinChunks(count: number): string {
    let text = "";
    for (let index = 0; index < count; index++) text += this.#chunks.get(index);
    return text;
  }
}

function isValidIndex(index: number, count: number): boolean {
  return Number.isInteger(index) && index >= 0 && index < count;
}
