import type { Problem } from "./problem.ts";

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** How a response ended. Peers exchange it as JSON. */
export type ResponseEnd =
  | { readonly kind: "whole" }
  | { readonly kind: "failed"; readonly problem: Problem };

/** One item of a response: its head, a part of its body, or its end. */
export type ResponseItem =
  | { readonly kind: "head"; readonly head: ResponseHead }
  | { readonly kind: "part"; readonly part: Uint8Array }
  | { readonly kind: "end"; readonly end: ResponseEnd };

/** Options of a {@link BufferedResponse}. */
export interface BufferedResponseOptions {
  /**
   * Retains all parts, so that a resend can read the response from its start.
   */
  readonly isReplayable?: boolean;
  /** Unread bytes above which the writer should wait. */
  readonly highWaterBytes?: number;
  /** Retained bytes above which a response is no longer replayable. */
  readonly maximumReplayBytes?: number;
}

const DEFAULT_HIGH_WATER_BYTES = 64 * 1024;
const DEFAULT_MAXIMUM_REPLAY_BYTES = 1024 * 1024;

/**
 * Buffers a response between its writer, which reads from an upstream, and its
 * readers: the caller and the caller's resends. The writer waits for the
 * slowest reader, so that a slow caller cannot fill this host's memory.
 */
export class BufferedResponse {
  readonly #highWaterBytes: number;
  readonly #maximumReplayBytes: number;
  #isReplayable: boolean;
  #head: ResponseHead | undefined;
  #end: ResponseEnd | undefined;
  #parts: Uint8Array[] = [];
  #firstPartIndex = 0;
  #retainedBytes = 0;
  readonly #readers = new Set<ResponseReader>();
  #resumeWriter: (() => void) | undefined;

  constructor(options: BufferedResponseOptions = {}) {
    this.#isReplayable = options.isReplayable ?? false;
    this.#highWaterBytes = options.highWaterBytes ?? DEFAULT_HIGH_WATER_BYTES;
    this.#maximumReplayBytes = options.maximumReplayBytes ??
      DEFAULT_MAXIMUM_REPLAY_BYTES;
  }

  get head(): ResponseHead | undefined {
    return this.#head;
  }

  get end(): ResponseEnd | undefined {
    return this.#end;
  }

  get retainedBytes(): number {
    return this.#retainedBytes;
  }

  get readerCount(): number {
    return this.#readers.size;
  }

  /** Number of items written so far: the head and each part count as one. */
  get itemCount(): number {
    if (this.#head === undefined) return 0;
    return 1 + this.#firstPartIndex + this.#parts.length;
  }

  /** Whether a new reader would get the response from its first byte. */
  get canReplay(): boolean {
    return this.#firstPartIndex === 0;
  }

  /** Writes status and headers. Later calls have no effect. */
  writeHead(head: ResponseHead): void {
    if (this.#head !== undefined || this.#end !== undefined) return;
    this.#head = head;
    this.#wakeReaders();
  }

  /** Appends a part of the body. Parts after the end are dropped. */
  append(part: Uint8Array): void {
    if (this.#end !== undefined) return;
    this.#parts.push(part);
    this.#retainedBytes += part.byteLength;
    this.#wakeReaders();
    this.#discardReadParts();
  }

  /** Ends the response. Later calls have no effect. */
  finish(end: ResponseEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    this.#wakeReaders();
    this.#resumeWriter?.();
  }

  /** Whether the writer should wait before the next part. */
  get isFull(): boolean {
    if (this.#end !== undefined || this.#readers.size === 0) return false;
    return this.#unreadBytes() > this.#highWaterBytes;
  }

  /** Resolves when the writer may go on or the response has ended. */
  whenWritable(): Promise<void> {
    if (!this.isFull) return Promise.resolve();
    return new Promise((resolve) => {
      this.#resumeWriter = resolve;
    });
  }

  /** Opens a reader at the first byte; `undefined` when it was discarded. */
  openReader(): ResponseReader | undefined {
    return this.openReaderAt(0);
  }

  /** Opens a reader at a position, counted in items. */
  openReaderAt(position: number): ResponseReader | undefined {
    if (!this.canReplay) return undefined;
    const reader = new ResponseReader(this, position);
    this.#readers.add(reader);
    return reader;
  }

  /** Returns the item at a position, if it was written. */
  itemAt(position: number): ResponseItem | undefined {
    if (position === 0) {
      if (this.#head !== undefined) return { kind: "head", head: this.#head };
      return this.#end === undefined
        ? undefined
        : { kind: "end", end: this.#end };
    }
    const part = this.#parts[position - 1 - this.#firstPartIndex];
    if (part !== undefined) return { kind: "part", part };
    return this.#end === undefined
      ? undefined
      : { kind: "end", end: this.#end };
  }

  /** Discards what all readers have read and resumes the writer. */
  onReaderProgress(): void {
    this.#discardReadParts();
    if (this.#resumeWriter !== undefined && !this.isFull) {
      const wake = this.#resumeWriter;
      this.#resumeWriter = undefined;
      wake();
    }
  }

  /** Removes a reader, for which the writer no longer waits. */
  removeReader(reader: ResponseReader): void {
    this.#readers.delete(reader);
    this.onReaderProgress();
  }

  #unreadBytes(): number {
    const slowest = this.#slowestPosition();
    let bytes = 0;
    for (
      let index = Math.max(0, slowest - 1 - this.#firstPartIndex);
      index < this.#parts.length;
      index++
    ) {
      bytes += this.#parts[index]!.byteLength;
    }
    return bytes;
  }

  #slowestPosition(): number {
    let slowest = Infinity;
    for (const { position } of this.#readers) {
      slowest = Math.min(slowest, position);
    }
    return slowest;
  }

  /** Discards parts that every reader has read. */
  #discardReadParts(): void {
    if (this.#isReplayable && this.#retainedBytes <= this.#maximumReplayBytes) {
      return;
    }
    this.#isReplayable = false;
    if (this.#readers.size === 0) return;
    const readUpTo = this.#slowestPosition() - 1 - this.#firstPartIndex;
    if (readUpTo <= 0) return;
    for (const part of this.#parts.splice(0, readUpTo)) {
      this.#retainedBytes -= part.byteLength;
    }
    this.#firstPartIndex += readUpTo;
  }

  #wakeReaders(): void {
    for (const reader of this.#readers) reader.wake();
  }
}

/** Reads the items of one response in order. */
export class ResponseReader {
  readonly #response: BufferedResponse;
  #position: number;
  #wake: (() => void) | undefined;

  constructor(response: BufferedResponse, position = 0) {
    this.#response = response;
    this.#position = position;
  }

  get position(): number {
    return this.#position;
  }

  /** Returns the next item if it was written already. */
  poll(): ResponseItem | undefined {
    const item = this.#response.itemAt(this.#position);
    if (item === undefined || item.kind === "end") return item;
    this.#position++;
    this.#response.onReaderProgress();
    return item;
  }

  /** Waits for the next item; returns the end again after the end. */
  async next(): Promise<ResponseItem> {
    while (true) {
      const item = this.poll();
      if (item !== undefined) return item;
      await new Promise<void>((resolve) => (this.#wake = resolve));
    }
  }

  /** Wakes a pending {@link ResponseReader.next}. */
  wake(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }

  /** Stops reading; the writer no longer waits for this reader. */
  close(): void {
    this.#response.removeReader(this);
  }
}
