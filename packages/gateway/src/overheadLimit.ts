/** Largest head of a response. */
export const MAXIMUM_HEADER_BYTES = 32 * 1_024;
/** Bytes of a connection that may be no payload, heads included. */
const MAXIMUM_OVERHEAD_BYTES = 4 * MAXIMUM_HEADER_BYTES;
/** Mean size below which parts of a body cost more than their bytes. */
const SMALL_PART_BYTES = 4;
/** Framing of a chunk of that size. */
const CHUNK_FRAMING_BYTES = 5;

/**
 * Limits the bytes of a connection that are no payload, such as interim heads,
 * chunk sizes and extensions or blank lines, and the number of parts in which a
 * payload comes. Payload allows for as many bytes of framing, but not in advance.
 */
export class OverheadLimit {
  #bytes = 0;
  #smallPartBytes = 0;

  get isExceeded(): boolean {
    return Math.max(this.#bytes, this.#smallPartBytes) > MAXIMUM_OVERHEAD_BYTES;
  }

  /** Counts bytes that were read, or put back if there are fewer than none. */
  count(bytes: number): void {
    this.#bytes = Math.max(0, this.#bytes + bytes);
  }

  /** Records that what was counted holds a part of a body. */
  recordPayload(bytes: number): void {
    const framing = bytes < SMALL_PART_BYTES ? bytes : CHUNK_FRAMING_BYTES;
    this.count(-bytes - Math.max(bytes, framing));
    this.#smallPartBytes = Math.max(
      0,
      this.#smallPartBytes + SMALL_PART_BYTES - bytes,
    );
  }

  /** Begins anew with the next response. */
  reset(): void {
    this.#bytes = 0;
    this.#smallPartBytes = 0;
  }
}
