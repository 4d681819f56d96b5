import { gunzipSync, gzipSync } from "node:zlib";

/** Compresses a document that is sent many times, and keeps the result. */
export class CompressedBytes {
  #source: Uint8Array | undefined;
  #compressed: Uint8Array = new Uint8Array();

  /** Returns the compressed form of a document; empty for an empty one. */
  of(source: Uint8Array): Uint8Array {
    if (source.length === 0) return source;
    if (source !== this.#source) {
      this.#source = source;
      this.#compressed = gzipSync(source);
    }
    return this.#compressed;
  }
}

/**
 * Reverses {@link CompressedBytes.of}; throws for malformed bytes and for a
 * document of more than `maximumBytes`.
 */
export function decompress(
  bytes: Uint8Array,
  maximumBytes: number,
): Uint8Array {
  if (bytes.length === 0) return bytes;
  return new Uint8Array(gunzipSync(bytes, { maxOutputLength: maximumBytes }));
}
