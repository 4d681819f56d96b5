import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type {
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";

/** The reason why a body could not be read. */
export type BodyError =
  | "body-too-large"
  | "body-too-slow"
  | "caller-left"
  | "stopping";

const NO_BODY = Buffer.alloc(0);

/**
 * Reads a complete body, limited in size and in the time between two chunks.
 */
export function readBody(
  request: IncomingMessage,
  { maximumBytes, idleTimeout, timer, watchTime }: {
    maximumBytes: number;
    idleTimeout: Milliseconds;
    timer: Timer;
    /** Calls back when the request could no longer be served. */
    watchTime: (onOver: () => void) => TimerSubscription;
  },
): Promise<Result<Buffer, BodyError>> {
  const length = bodyLength(request);
  if (length === 0) return Promise.resolve(ok(NO_BODY));
  if (length !== undefined && length > maximumBytes) {
    return Promise.resolve(err("body-too-large"));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let idleTimer = timer.after(idleTimeout, () => end(err("body-too-slow")));
    const watch = watchTime(() => end(err("stopping")));
    const end = (result: Result<Buffer, BodyError>): void => {
      idleTimer.cancel();
      watch.cancel();
      request.removeAllListeners("data");
      resolve(result);
    };
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maximumBytes) return end(err("body-too-large"));
      chunks.push(chunk);
      idleTimer.cancel();
      idleTimer = timer.after(idleTimeout, () => end(err("body-too-slow")));
    });
    request.once("end", () => end(ok(Buffer.concat(chunks))));
    request.once("close", () => end(err("caller-left")));
  });
}

/**
 * Returns the length of a request's body by its head; `undefined` if the head does
 * not tell it.
 */
export function bodyLength({ headers }: IncomingMessage): number | undefined {
  if (headers["transfer-encoding"] !== undefined) return undefined;
  return Number(headers["content-length"] ?? 0);
}
