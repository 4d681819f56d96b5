import { Buffer } from "node:buffer";
import { ByteCollector } from "@wasabivane/common";

const NO_BYTES = Buffer.alloc(0);

/**
 * Parts of a response that cannot be passed on yet. A part that is alone is kept
 * as it came, as most responses and events come at once; more are copied into
 * blocks.
 */
export class HeldParts {
  #first: Buffer = NO_BYTES;
  readonly #further = new ByteCollector();

  get length(): number {
    return this.#first.length + this.#further.length;
  }

  add(part: Buffer): void {
    if (this.length === 0) {
      this.#first = part;
      return;
    }
    this.#further.add(this.#first);
    this.#first = NO_BYTES;
    this.#further.add(part);
  }

  /** Returns all parts as one buffer, and begins anew. */
  take(): Buffer {
    const first = this.#first;
    this.#first = NO_BYTES;
    return this.#further.length > 0 ? this.#further.take() : first;
  }

  /** Returns all parts and a last one as one buffer, and begins anew. */
  takeWith(last: Buffer): Buffer {
    if (this.#further.length > 0) {
      this.#further.add(last);
      return this.take();
    }
    const first = this.take();
    return first.length > 0 ? Buffer.concat([first, last]) : last;
  }
}
