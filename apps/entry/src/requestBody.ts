import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { type Problem, problemOf } from "./problem.ts";

/** Reads a complete body; stops reading at the size limit. */
export function readBody(
  incoming: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, Problem>> {
  const declaredBytes = Number(incoming.headers["content-length"] ?? 0);
  if (declaredBytes > maximumBytes) {
    return Promise.resolve(err(problemOf("body-too-large")));
  }
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    incoming.on("data", (part: Buffer) => {
      bytes += part.byteLength;
      if (bytes <= maximumBytes) {
        parts.push(part);
        return;
      }
      incoming.pause();
      incoming.removeAllListeners("data");
      resolve(err(problemOf("body-too-large")));
    });
    incoming.on("end", () => resolve(ok(Buffer.concat(parts))));
    const onBroken = (): void => {
      resolve(
        err(
          problemOf("malformed-request", {
            detail: "The connection broke before the body's end",
          }),
        ),
      );
    };
    incoming.on("error", onBroken);
    incoming.on("aborted", onBroken);
  });
}
