import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Milliseconds, Timer } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";

/** Why a body was not taken in. */
export type BodyError = "body-too-large" | "body-too-slow" | "caller-left";

const NO_BODY = Buffer.alloc(0);

/** Reads a whole body within bounds of size and of time between two of its pieces. */
export function readBody(
  request: IncomingMessage,
  { maximumBytes, idleTimeout, timer }: {
    maximumBytes: number;
    idleTimeout: Milliseconds;
    timer: Timer;
  },
): Promise<Result<Buffer, BodyError>> {
  if (hasNoBody(request)) return Promise.resolve(ok(NO_BODY));
  if (Number(request.headers["content-length"] ?? 0) > maximumBytes) {
    return Promise.resolve(err("body-too-large"));
  }
  return new Promise((resolve) => {
    const pieces: Buffer[] = [];
    let bytes = 0;
    let idle = timer.after(idleTimeout, () => end(err("body-too-slow")));
    const end = (result: Result<Buffer, BodyError>): void => {
      idle.cancel();
      request.removeAllListeners("data");
      resolve(result);
    };
    request.on("data", (piece: Buffer) => {
      bytes += piece.length;
      if (bytes > maximumBytes) return end(err("body-too-large"));
      pieces.push(piece);
      idle.cancel();
      idle = timer.after(idleTimeout, () => end(err("body-too-slow")));
    });
    request.once("end", () => end(ok(Buffer.concat(pieces))));
    request.once("close", () => end(err("caller-left")));
  });
}

function hasNoBody({ headers }: IncomingMessage): boolean {
  if (headers["transfer-encoding"] !== undefined) return false;
  const length = headers["content-length"];
  return length === undefined || Number(length) === 0;
}
