import type { Problem } from "./problem.ts";

/** Status and headers of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** How an answer ended. */
export type ResponseEnd =
  | { readonly kind: "whole" }
  | { readonly kind: "failed"; readonly problem: Problem };

/** What a reader gets next. */
export type ResponseItem =
  | { readonly kind: "head"; readonly head: ResponseHead }
  | { readonly kind: "part"; readonly part: Uint8Array }
  | { readonly kind: "end"; readonly end: ResponseEnd };

/** Options of an {@link BufferedResponse}. */
export interface BufferedResponseOptions {
  /** Keeps all parts, so that a resend can read the answer from its start. */
  readonly isReplayable?: boolean;
  /** Bytes that may stand unread before the writer waits. */
  readonly highWaterBytes?: number;
  /** Bytes after which a replayable answer forgets its start. */
  readonly maximumReplayBytes?: number;
}

const DEFAULT_HIGH_WATER_BYTES = 64 * 1024;
const DEFAULT_MAXIMUM_REPLAY_BYTES = 1024 * 1024;

/**
 * One answer on its way from an upstream to its readers: the caller, and the
 * caller's resends. The writer waits while the slowest reader is far behind,
 * so that a slow caller slows the upstream's connection, not this host's memory.
 */
export class BufferedResponse {
  readonly #highWaterBytes: number;
  readonly #maximumReplayBytes: number;
  #isReplayable: boolean;
  #head: ResponseHead | undefined;
  #end: ResponseEnd | undefined;
  #parts: Uint8Array[] = [];
  #firstPart = 0;
  #retainedBytes = 0;
  readonly #readers = new Set<ResponseReader>();
  #wakeWriter: (() => void) | undefined;

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

  /** Steps written so far: the head counts as one, each part as one. */
  get itemCount(): number {
    if (this.#head === undefined) return 0;
    return 1 + this.#firstPart + this.#parts.length;
  }

  /** Whether a new reader would get the answer from its first byte. */
  get canReplay(): boolean {
    return this.#firstPart === 0;
  }

  /** Writes status and headers; once. */
  writeHead(head: ResponseHead): void {
    if (this.#head !== undefined || this.#end !== undefined) return;
    this.#head = head;
    this.#wakeReaders();
  }

  /** Adds a part; parts after the end are dropped. */
  append(part: Uint8Array): void {
    if (this.#end !== undefined) return;
    this.#parts.push(part);
    this.#retainedBytes += part.byteLength;
    this.#wakeReaders();
    this.#trim();
  }

  /** Ends the answer; the first end counts. */
  finish(end: ResponseEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    this.#wakeReaders();
    this.#wakeWriter?.();
  }

  /** Whether the writer should wait before the next part. */
  get isFull(): boolean {
    if (this.#end !== undefined || this.#readers.size === 0) return false;
    return this.#unreadBytes() > this.#highWaterBytes;
  }

  /** Resolves when there is room again, or the answer ended. */
  whenWritable(): Promise<void> {
    if (!this.isFull) return Promise.resolve();
    return new Promise((resolve) => {
      this.#wakeWriter = resolve;
    });
  }

  /** A reader from the first byte; `undefined` when that is forgotten. */
  openReader(): ResponseReader | undefined {
    return this.openReaderAt(0);
  }

  /** A reader from a position on, counted in steps. */
  openReaderAt(position: number): ResponseReader | undefined {
    if (!this.canReplay) return undefined;
    const reader = new ResponseReader(this, position);
    this.#readers.add(reader);
    return reader;
  }

  /** Used by readers: the step at a position, if it is there. */
  itemAt(position: number): ResponseItem | undefined {
    if (position === 0) {
      if (this.#head !== undefined) return { kind: "head", head: this.#head };
      return this.#end === undefined
        ? undefined
        : { kind: "end", end: this.#end };
    }
    const part = this.#parts[position - 1 - this.#firstPart];
    if (part !== undefined) return { kind: "part", part };
    return this.#end === undefined
      ? undefined
      : { kind: "end", end: this.#end };
  }

  /** Used by readers: a reader moved on or left. */
  onReaderProgress(): void {
    this.#trim();
    if (this.#wakeWriter !== undefined && !this.isFull) {
      const wake = this.#wakeWriter;
      this.#wakeWriter = undefined;
      wake();
    }
  }

  /** Used by readers: a reader left. */
  removeReader(reader: ResponseReader): void {
    this.#readers.delete(reader);
    this.onReaderProgress();
  }

  #unreadBytes(): number {
    const slowest = this.#slowestPosition();
    let bytes = 0;
    for (
      let index = Math.max(0, slowest - 1 - this.#firstPart);
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

  /** Forgets parts that no reader needs any more. */
  #trim(): void {
    if (this.#isReplayable && this.#retainedBytes <= this.#maximumReplayBytes) {
      return;
    }
    this.#isReplayable = false;
    if (this.#readers.size === 0) return;
    const readUpTo = this.#slowestPosition() - 1 - this.#firstPart;
    if (readUpTo <= 0) return;
    for (const part of this.#parts.splice(0, readUpTo)) {
      this.#retainedBytes -= part.byteLength;
    }
    this.#firstPart += readUpTo;
  }

  #wakeReaders(): void {
    for (const reader of this.#readers) reader.wake();
  }
}

/** Reads one answer in order. */
export class ResponseReader {
  readonly #record: BufferedResponse;
  #position: number;
  #wake: (() => void) | undefined;

  constructor(record: BufferedResponse, position = 0) {
    this.#record = record;
    this.#position = position;
  }

  get position(): number {
    return this.#position;
  }

  /** The next step if it is there already. */
  poll(): ResponseItem | undefined {
    const step = this.#record.itemAt(this.#position);
    if (step === undefined || step.kind === "end") return step;
    this.#position++;
    this.#record.onReaderProgress();
    return step;
  }

  /** The next step; after the end it is the end again. */
  async next(): Promise<ResponseItem> {
    while (true) {
      const step = this.poll();
      if (step !== undefined) return step;
      await new Promise<void>((resolve) => (this.#wake = resolve));
    }
  }

  /** Called by the record when there may be something to read. */
  wake(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }

  /** Leaves the answer; the record no longer waits for this reader. */
  close(): void {
    this.#record.removeReader(this);
  }
}
