import { Buffer } from "node:buffer";
import type { Milliseconds } from "./ids.ts";
import type { Timer, TimerSubscription } from "./timer.ts";

/**
 * Aborts a transfer that makes no progress. Unlike a limit for the whole
 * transfer, it holds for any size and for any share of a link.
 */
export class StallTimeout {
  readonly #timer: Timer;
  readonly #controller = new AbortController();
  #expiry: TimerSubscription;

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

  /** Ends the observation. */
  cancel(): void {
    this.#expiry.cancel();
  }

  #expireAfter(span: Milliseconds): TimerSubscription {
    return this.#timer.after(span, () => {
      const message = `No progress within ${span} ms`;
      this.#controller.abort(new DOMException(message, "TimeoutError"));
    });
  }
}

/**
 * Reads a body; each of its chunks restarts the timeout. Throws a `RangeError` if
 * it has more than `maximumBytes`.
 */
export async function collectBody(
  body: AsyncIterable<Uint8Array>,
  { timeout, span, maximumBytes }: {
    timeout: StallTimeout;
    span: Milliseconds;
    maximumBytes: number;
  },
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  timeout.restart(span);
  for await (const chunk of body) {
    timeout.restart(span);
    bytes += chunk.length;
    if (bytes > maximumBytes) {
      throw new RangeError(`The body exceeds ${maximumBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
