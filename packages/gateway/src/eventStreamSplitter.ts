import { Buffer } from "node:buffer";

const NEW_LINE = 0x0a;
const ID_LINE = /^id: ?(\d+)\r?$/m;

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
  #remainder: Buffer = Buffer.alloc(0);

  /** Bytes of the trailing incomplete event. */
  get remainder(): Buffer {
    return this.#remainder;
  }

  push(chunk: Buffer): EventFrame[] {
    const bytes = this.#remainder.length === 0
      ? chunk
      : Buffer.concat([this.#remainder, chunk]);
    const frames: EventFrame[] = [];
    let start = 0;
    let end = endOfEvent(bytes, start);
    while (end > 0) {
      const event = bytes.subarray(start, end);
      frames.push({ bytes: event, id: idOf(event) });
      start = end;
      end = endOfEvent(bytes, start);
    }
    this.#remainder = bytes.subarray(start);
    return frames;
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
