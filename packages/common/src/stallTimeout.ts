import type { Buffer } from "node:buffer";
import { ByteCollector } from "./byteCollector.ts";
import type { Milliseconds } from "./ids.ts";
import type { Timer, TimerSubscription } from "./timer.ts";

/**
 * Aborts a transfer that makes no progress, and optionally one that takes too long
 * as a whole.
 */
export class StallTimeout {
  readonly #timer: Timer;
  readonly #controller = new AbortController();
  #expiry: TimerSubscription;
  #limit: TimerSubscription | undefined;

  /** Allows `span` until the first {@link restart}. */
  constructor(timer: Timer, span: Milliseconds) {
    this.#timer = timer;
    this.#expiry = this.#expireAfter(span);
  }

  /** Is aborted when the transfer makes no progress in time. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Records progress, and allows `span` until the next call. */
  restart(span: Milliseconds): void {
    this.#expiry.cancel();
    this.#expiry = this.#expireAfter(span);
  }

  /** Allows `span` from now for all that is left of the transfer. */
  limit(span: Milliseconds): void {
    this.#limit?.cancel();
    this.#limit = this.#timer.after(
      span,
      () => this.#abort(`No end within ${span} ms`),
    );
  }

  /** Ends the observation. */
  cancel(): void {
    this.#expiry.cancel();
    this.#limit?.cancel();
  }

  #expireAfter(span: Milliseconds): TimerSubscription {
    return this.#timer.after(
      span,
      () => this.#abort(`No progress within ${span} ms`),
    );
  }

  #abort(message: string): void {
    this.#controller.abort(new DOMException(message, "TimeoutError"));
  }
}

/** Chunks that a body may have in addition to one for each {@link BYTES_PER_CHUNK}. */
const CHUNK_ALLOWANCE = 32_768;
const BYTES_PER_CHUNK = 8;

/** The error for a body that is larger than its reader may hold. */
export class BodyTooLarge extends RangeError {
  override readonly name = "BodyTooLarge";
}

/** Options of {@link collectBody}. */
export interface CollectBodyOptions {
  readonly timeout: StallTimeout;
  /** Time between two chunks. */
  readonly span: Milliseconds;
  /** Time of the whole body; unlimited by default. */
  readonly wholeSpan?: Milliseconds;
  readonly maximumBytes: number;
  /** Reserves memory for so many bytes in all; returns false if they do not fit. */
  readonly reserve?: (bytes: number) => boolean;
}

/**
 * Reads a body; each of its chunks restarts the timeout. Throws a
 * {@link BodyTooLarge} if it has more than `maximumBytes` or no memory is left
 * for it, and a `RangeError` if it comes in far too many chunks.
 */
export async function collectBody(
  body: AsyncIterable<Uint8Array>,
  { timeout, span, wholeSpan, maximumBytes, reserve = () => true }:
    CollectBodyOptions,
): Promise<Buffer> {
  const collector = new ByteCollector();
  let chunks = 0;
  timeout.restart(span);
  if (wholeSpan !== undefined) timeout.limit(wholeSpan);
  for await (const chunk of body) {
    timeout.restart(span);
    const bytes = collector.length + chunk.length;
    if (bytes > maximumBytes) {
      throw new BodyTooLarge(`The body exceeds ${maximumBytes} bytes`);
    }
    if (++chunks > CHUNK_ALLOWANCE + bytes / BYTES_PER_CHUNK) {
      throw new RangeError(`The body has ${chunks} chunks in ${bytes} bytes`);
    }
    if (!reserve(bytes)) {
      throw new BodyTooLarge(`No memory for ${bytes} bytes of the body`);
    }
    collector.add(chunk);
  }
  return collector.take();
}
