import { Buffer } from "node:buffer";

const NEW_LINE = 0x0a;
const ID_LINE = /^id: ?(\d+)\r?$/m;
/** The end of an event, `\n\r\n` at the longest, may begin so long before a chunk. */
const SEAM_BYTES = 2;
const NO_BYTES = Buffer.alloc(0);

/** A complete event of a stream, including its closing blank line. */
export interface EventFrame {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

/**
 * Splits a `text/event-stream` into complete events, so that a stream that
 * breaks off within an event can be resumed at another upstream without a
 * partial event.
 */
export class EventStreamSplitter {
  /** The trailing incomplete event. */
  #chunks: Buffer[] = [];
  #remainderBytes = 0;
  /** Its last bytes. */
  #tail = NO_BYTES;

  /** Bytes of the trailing incomplete event. */
  get remainder(): Buffer {
    return Buffer.concat(this.#chunks);
  }

  /** Size of the trailing incomplete event. */
  get remainderBytes(): number {
    return this.#remainderBytes;
  }

  push(chunk: Buffer): EventFrame[] {
    const bytes = this.#join(chunk);
    if (bytes === undefined) return [];
    const frames: EventFrame[] = [];
    let start = 0;
    let end = endOfEvent(bytes, start);
    while (end > 0) {
      const event = bytes.subarray(start, end);
      frames.push({ bytes: event, id: idOf(event) });
      start = end;
      end = endOfEvent(bytes, start);
    }
    this.#chunks = [];
    this.#remainderBytes = 0;
    this.#tail = NO_BYTES;
    this.#keep(bytes.subarray(start));
    return frames;
  }

  /**
   * Returns the incomplete event with a chunk; `undefined` if the chunk does not
   * complete it, so that a long event is not searched and copied for each chunk.
   */
  #join(chunk: Buffer): Buffer | undefined {
    if (this.#chunks.length === 0) return chunk;
    const seam = Buffer.concat([this.#tail, chunk]);
    if (endOfEvent(seam, 0) > 0) return Buffer.concat([...this.#chunks, chunk]);
    this.#keep(chunk);
    return undefined;
  }

  #keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#chunks.push(bytes);
    this.#remainderBytes += bytes.length;
    this.#tail = Buffer.concat([
      this.#tail,
      bytes.subarray(-SEAM_BYTES),
    ]).subarray(-SEAM_BYTES);
  }
}

/** Returns the position after the blank line that closes the event, or -1. */
function endOfEvent(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(NEW_LINE, start);
  while (at >= 0 && at + 1 < bytes.length) {
    if (bytes[at + 1] === NEW_LINE) return at + 2;
    if (bytes[at + 1] === 0x0d && bytes[at + 2] === NEW_LINE) return at + 3;
    at = bytes.indexOf(NEW_LINE, at + 1);
  }
  return -1;
}

function idOf(event: Buffer): number | undefined {
  const match = ID_LINE.exec(event.toString("latin1"));
  return match === null ? undefined : Number(match[1]);
}
