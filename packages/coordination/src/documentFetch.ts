import type { HostId, Milliseconds } from "@wasabivane/common";
import {
  type DocumentChunk,
  type DocumentRequest,
  MAX_CHUNKS,
} from "./configurationMessages.ts";

/** A fetch without progress for so long turns to another peer. */
export const FETCH_TIMEOUT_MS: Milliseconds = 400;

/** What a fetch wants, without the index of a chunk. */
export type DocumentReference = Omit<DocumentRequest, "index">;

/** What a chunk led to. */
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

  /** The request that starts the fetch. */
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
    if (from !== this.peer || !this.#isWanted(chunk)) {
      return { kind: "ignored" };
    }
    if (chunk.count === 0 || chunk.count > MAX_CHUNKS) {
      return { kind: "missing" };
    }
    if (this.#count !== undefined && this.#count !== chunk.count) {
      return { kind: "missing" };
    }
    if (!isIndex(chunk.index, chunk.count)) return { kind: "ignored" };
    const isFirstAnswer = this.#count === undefined;
    this.#count = chunk.count;
    this.#chunks.set(chunk.index, chunk.text);
    this.#progressAt = now;
    if (this.#chunks.size === chunk.count) {
      return { kind: "whole", text: this.#text(chunk.count) };
    }
    return { kind: "more", requests: isFirstAnswer ? this.#rest(chunk) : [] };
  }

  #isWanted(chunk: DocumentChunk): boolean {
    const { document, version, root, fromRoot } = this.wanted;
    return chunk.document === document && chunk.version === version &&
      chunk.root === root && chunk.fromRoot === fromRoot;
  }

  #rest({ count }: DocumentChunk): DocumentRequest[] {
    const requests: DocumentRequest[] = [];
    for (let index = 0; index < count; index++) {
      if (!this.#chunks.has(index)) requests.push({ ...this.wanted, index });
    }
    return requests;
  }

  #text(count: number): string {
    let text = "";
    for (let index = 0; index < count; index++) text += this.#chunks.get(index);
    return text;
  }
}

function isIndex(index: number, count: number): boolean {
  return Number.isInteger(index) && index >= 0 && index < count;
}
