import { Buffer } from "node:buffer";

/** Sizes of blocks; each one has twice the bytes of the one before. */
const FIRST_BLOCK_BYTES = 1_024;
const LARGEST_BLOCK_BYTES = 256 * 1_024;

/**
 * Collects chunks of any size in blocks of its own, so that what it holds depends
 * on the bytes alone and not on how their sender cut them.
 */
export class ByteCollector {
  #blocks: Buffer[] = [];
  /** Bytes of the last block that are in use. */
  #used = 0;
  #length = 0;

  /** Collected bytes. */
  get length(): number {
    return this.#length;
  }

  /** Copies a chunk. */
  add(chunk: Uint8Array): void {
    let start = 0;
    while (start < chunk.length) {
      const block = this.#blockWithSpace(chunk.length - start);
      const end = Math.min(
        chunk.length,
        start + block.length - this.#used,
      );
      const isWhole = end - start === chunk.length;
      block.set(isWhole ? chunk : chunk.subarray(start, end), this.#used);
      this.#used += end - start;
      start = end;
    }
    this.#length += chunk.length;
  }

  /** Returns all bytes as one buffer, and begins anew. */
  take(): Buffer {
    const last = this.#blocks.pop();
    if (last !== undefined) this.#blocks.push(last.subarray(0, this.#used));
    const bytes = this.#blocks.length === 1
      ? this.#blocks[0]!
      : Buffer.concat(this.#blocks);
    this.#blocks = [];
    this.#used = 0;
    this.#length = 0;
    return bytes;
  }

  #blockWithSpace(bytes: number): Buffer {
    const last = this.#blocks.at(-1);
    if (last !== undefined && this.#used < last.length) return last;
    const doubled = last === undefined ? FIRST_BLOCK_BYTES : 2 * last.length;
    const size = Math.min(LARGEST_BLOCK_BYTES, Math.max(doubled, bytes));
    const block = Buffer.allocUnsafeSlow(size);
    this.#blocks.push(block);
    this.#used = 0;
    return block;
  }
}
