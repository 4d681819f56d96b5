import { Buffer } from "node:buffer";

const NEW_LINE = 0x0a;
const ID_LINE = /^id: ?(\d+)\r?$/m;

/** A whole event of a stream, its closing blank line included. */
export interface EventFrame {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

/**
 * Cuts a `text/event-stream` into whole events.
 *
 * An upstream may break off in the middle of an event. Passing on only whole
 * ones lets the stream be continued at another upstream without a caller
 * seeing half an event followed by a whole one.
 */
export class EventFrames {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has not ended. */
  get rest(): Buffer {
    return this.#rest;
  }

  push(chunk: Buffer): EventFrame[] {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const frames: EventFrame[] = [];
    let start = 0;
    let end = endOfEvent(bytes, start);
    while (end > 0) {
      const event = bytes.subarray(start, end);
      frames.push({ bytes: event, id: idOf(event) });
      start = end;
      end = endOfEvent(bytes, start);
    }
    this.#rest = bytes.subarray(start);
    return frames;
  }
}

/** Position after the blank line that closes the event, or -1. */
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
