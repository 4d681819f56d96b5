/** Largest head of a response. */
export const MAXIMUM_HEADER_BYTES = 32 * 1_024;
/** Bytes of a connection between two parts of responses, heads included. */
const MAXIMUM_OVERHEAD_BYTES = 4 * MAXIMUM_HEADER_BYTES;

/**
 * Limits the bytes of a connection that go on without being part of a response,
 * such as interim heads, chunk extensions or blank lines, which the HTTP library
 * skips.
 */
export class OverheadLimit {
  #bytes = 0;

  get isExceeded(): boolean {
    return this.#bytes > MAXIMUM_OVERHEAD_BYTES;
  }

  count(bytes: number): void {
    this.#bytes += bytes;
  }

  reset(): void {
    this.#bytes = 0;
  }
}
