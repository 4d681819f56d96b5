import { Buffer } from "node:buffer";
import { ByteCollector } from "@wasabivane/common";

/** Parts of at least this size are worth the block that they are cut from. */
const LARGE_PART_BYTES = 16 * 1_024;

/**
 * Parts of a response that cannot be passed on yet. Large ones, and one that is
 * alone, are kept as they came; small ones are copied into blocks.
 */
export class HeldParts {
  #parts: Buffer[] = [];
  #partBytes = 0;
  /** Small parts behind the others. */
  readonly #small = new ByteCollector();

  get length(): number {
    return this.#partBytes + this.#small.length;
  }

  add(part: Buffer): void {
    const [first] = this.#parts;
    const isFirstSmall = this.#parts.length === 1 && this.#small.length === 0 &&
      first!.length < LARGE_PART_BYTES;
    if (isFirstSmall) this.#small.add(this.#take());
    if (this.length === 0 || part.length >= LARGE_PART_BYTES) this.#keep(part);
    else this.#small.add(part);
  }

  /** Returns all parts as one buffer, and begins anew. */
  take(): Buffer {
    this.#keepSmall();
    return this.#take();
  }

  /** Returns all parts and a last one as one buffer, and begins anew. */
  takeWith(last: Buffer): Buffer {
    if (this.length === 0) return last;
    this.#keep(last);
    return this.#take();
  }

  #keep(part: Buffer): void {
    this.#keepSmall();
    this.#parts.push(part);
    this.#partBytes += part.length;
  }

  #keepSmall(): void {
    if (this.#small.length === 0) return;
    const bytes = this.#small.take();
    this.#parts.push(bytes);
    this.#partBytes += bytes.length;
  }

  #take(): Buffer {
    const parts = this.#parts;
    this.#parts = [];
    this.#partBytes = 0;
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }
}
