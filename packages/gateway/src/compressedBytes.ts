import { gunzipSync, gzipSync } from "node:zlib";

/** Size above which a compressed policy is taken for malformed. */
const MAXIMUM_BYTES = 64 * 1_024 * 1_024;

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

/** Reverses {@link CompressedBytes.of}; throws for malformed bytes. */
export function decompress(bytes: Uint8Array): Uint8Array {
  if (bytes.length === 0) return bytes;
  return new Uint8Array(gunzipSync(bytes, { maxOutputLength: MAXIMUM_BYTES }));
}
