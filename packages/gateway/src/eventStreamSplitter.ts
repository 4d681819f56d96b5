import type { Buffer } from "node:buffer";
import { HeldParts } from "./heldParts.ts";

const NEW_LINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const DIGIT_0 = 0x30;
const DIGIT_9 = 0x39;
const COLON = 0x3a;
const LETTER_D = 0x64;
const LETTER_I = 0x69;
/** Rests of lines above this size are searched by the runtime. */
const LONG_REST_BYTES = 8;

/** Position within a line. */
const enum Place {
  Start,
  /** Behind a carriage return that may be a blank line's. */
  BlankReturn,
  /** Where the line's kind is known. */
  Rest,
  IdLetter,
  IdName,
  IdColon,
  IdSpace,
  IdDigits,
  IdReturn,
}

/** Complete events of a stream, including their closing blank lines. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Number of events; comments and blank lines are none. */
  readonly count: number;
  /** The last event id in them, if there is any. */
  readonly lastId: number | undefined;
}

/**
 * Splits a `text/event-stream` behind complete events, so that a stream that
 * breaks off within an event can be resumed at another upstream without a
 * partial event.
 */
export class EventStreamSplitter {
  /** The trailing incomplete event. */
  readonly #remainder = new HeldParts();
  #place = Place.Start;
  #id = 0;
  /** Id in the incomplete event. */
  #pendingId: number | undefined;
  /** Whether the incomplete event has a line that is no comment. */
  #hasField = false;
  /** Bytes of comments and blank lines, less those of events since. */
  #fillerBytes = 0;

  /** Size of the trailing incomplete event. */
  get remainderBytes(): number {
    return this.#remainder.length;
  }

  /**
   * Bytes of comments and blank lines beyond those of the events that came after
   * or between them.
   */
  get fillerBytes(): number {
    return this.#fillerBytes + (this.#hasField ? 0 : this.remainderBytes);
  }

  /** Takes the bytes of the trailing incomplete event out of the splitter. */
  takeRemainder(): Buffer {
    return this.#remainder.take();
  }

  /** Returns the events that a chunk completes; `undefined` if there are none. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const { length } = chunk;
    let place = this.#place;
    let end = 0;
    let count = 0;
    let lastId: number | undefined;
    for (let at = 0; at < length; at++) {
      if (place === Place.Rest) {
        at = endOfLine(chunk, at);
        if (at < 0) break;
      }
      const byte = chunk[at]!;
      if (byte !== NEW_LINE) {
        place = this.#placeBehind(byte, place);
        continue;
      }
      if (place === Place.Start || place === Place.BlankReturn) {
        this.#countBlock(at + 1 - end + (end === 0 ? this.remainderBytes : 0));
        if (this.#hasField) count++;
        lastId = this.#pendingId ?? lastId;
        this.#pendingId = undefined;
        this.#hasField = false;
        end = at + 1;
      } else if (place === Place.IdDigits || place === Place.IdReturn) {
        this.#pendingId = this.#id;
      }
      place = Place.Start;
    }
    this.#place = place;
    return this.#split(chunk, { end, count, lastId });
  }

  /** Returns the place behind a byte that does not end its line. */
  #placeBehind(byte: number, place: Place): Place {
    switch (place) {
      case Place.Start:
        if (byte === CARRIAGE_RETURN) return Place.BlankReturn;
        if (byte === COLON) return Place.Rest;
        this.#hasField = true;
        return byte === LETTER_I ? Place.IdLetter : Place.Rest;
      case Place.BlankReturn:
        this.#hasField = true;
        return Place.Rest;
      case Place.IdLetter:
        return byte === LETTER_D ? Place.IdName : Place.Rest;
      case Place.IdName:
        this.#id = 0;
        return byte === COLON ? Place.IdColon : Place.Rest;
      case Place.IdColon:
        if (byte === SPACE) return Place.IdSpace;
        return this.#placeBehindDigit(byte);
      case Place.IdDigits:
        if (byte === CARRIAGE_RETURN) return Place.IdReturn;
        return this.#placeBehindDigit(byte);
      case Place.IdSpace:
        return this.#placeBehindDigit(byte);
      default:
        return Place.Rest;
    }
  }

  #placeBehindDigit(byte: number): Place {
    if (byte < DIGIT_0 || byte > DIGIT_9) return Place.Rest;
    this.#id = 10 * this.#id + byte - DIGIT_0;
    return Place.IdDigits;
  }

  #countBlock(bytes: number): void {
    const change = this.#hasField ? -bytes : bytes;
    this.#fillerBytes = Math.max(0, this.#fillerBytes + change);
  }

  #split(
    chunk: Buffer,
    { end, count, lastId }: {
      end: number;
      count: number;
      lastId: number | undefined;
    },
  ): CompleteEvents | undefined {
    if (end === 0) {
      if (chunk.length > 0) this.#remainder.add(chunk);
      return undefined;
    }
    const isAll = end === chunk.length;
    const last = isAll ? chunk : chunk.subarray(0, end);
    const bytes = this.#remainder.takeWith(last);
    if (!isAll) this.#remainder.add(chunk.subarray(end));
    return { bytes, count, lastId };
  }
}

/** Returns the position of the next line end, or -1. */
function endOfLine(bytes: Buffer, start: number): number {
  const stop = Math.min(bytes.length, start + LONG_REST_BYTES);
  for (let at = start; at < stop; at++) {
    if (bytes[at] === NEW_LINE) return at;
  }
  return bytes.indexOf(NEW_LINE, stop);
}
