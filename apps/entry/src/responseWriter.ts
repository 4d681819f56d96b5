import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  BufferedResponse,
  ResponseHead,
  ResponseItem,
  ResponseReader,
} from "./bufferedResponse.ts";
import {
  type Problem,
  problemDocument,
  problemHeaders,
  PROBLEMS,
} from "./problem.ts";

/** Items per write, after which backpressure is checked. */
const MAX_ITEMS_PER_WRITE = 64;

/** Sends a problem document as the response. */
export function writeProblem(outgoing: ServerResponse, problem: Problem): void {
  const body = JSON.stringify(problemDocument(problem));
  outgoing.writeHead(PROBLEMS[problem.name].status, {
    ...problemHeaders(problem),
    "content-length": Buffer.byteLength(body),
  });
  outgoing.end(body);
}

/**
 * Sends a problem to a caller that may still be sending its request. Reads and
 * drops the rest of the body, up to a limit: closing a connection with unread
 * bytes resets it, and the caller could lose the document. The listener's
 * timeouts limit the time.
 */
export function refuseUnreadRequest(
  incoming: IncomingMessage,
  { outgoing, problem, maximumBytes }: {
    outgoing: ServerResponse;
    problem: Problem;
    maximumBytes: number;
  },
): void {
  if (incoming.complete) return writeProblem(outgoing, problem);
  const body = JSON.stringify(problemDocument(problem));
  outgoing.writeHead(PROBLEMS[problem.name].status, {
    ...problemHeaders(problem),
    "content-length": Buffer.byteLength(body),
    "connection": "close",
  });
  outgoing.write(body);
  let droppedBytes = 0;
  incoming.on("data", (part: Uint8Array) => {
    droppedBytes += part.byteLength;
    if (droppedBytes > maximumBytes) outgoing.end();
  });
  incoming.on("end", () => outgoing.end());
  incoming.on("error", () => outgoing.destroy());
  incoming.resume();
}

/**
 * Writes a response to its caller as fast as the caller reads. If it fails
 * after its head was sent, an event stream ends with an error event and any
 * other response with a broken connection, so that it cannot look complete.
 */
export async function writeResponse(
  response: BufferedResponse,
  outgoing: ServerResponse,
): Promise<void> {
  const reader = response.openReader();
  if (reader === undefined) {
    writeProblem(outgoing, { name: "answer-gone", ending: "unknown" });
    return;
  }
  outgoing.on("close", () => reader.close());
  await writeItems(reader, outgoing);
  reader.close();
}

async function writeItems(
  reader: ResponseReader,
  outgoing: ServerResponse,
): Promise<void> {
  let head: ResponseHead | undefined;
  while (!outgoing.destroyed) {
    const items = await nextItems(reader);
    // Sends all available parts in one write.
    outgoing.cork();
    let isDrained = true;
    for (const item of items) {
      if (item.kind === "head") {
        head = item.head;
        outgoing.writeHead(head.status, head.headers);
      } else if (item.kind === "part") {
        isDrained = outgoing.write(item.part);
      } else {
        finish(outgoing, { head, item });
        return;
      }
    }
    outgoing.uncork();
    if (!isDrained) await waitForDrain(outgoing);
  }
}

async function nextItems(reader: ResponseReader): Promise<ResponseItem[]> {
  const items = [await reader.next()];
  while (items.length < MAX_ITEMS_PER_WRITE && items.at(-1)?.kind !== "end") {
    const item = reader.poll();
    if (item === undefined) break;
    items.push(item);
  }
  return items;
}

function finish(
  outgoing: ServerResponse,
  { head, item }: {
    head: ResponseHead | undefined;
    item: ResponseItem & { kind: "end" };
  },
): void {
  if (item.end.kind === "whole") {
    outgoing.end();
  } else if (head === undefined) {
    writeProblem(outgoing, item.end.problem);
  } else if (head.headers["content-type"]?.startsWith("text/event-stream")) {
    outgoing.end(
      `event: error\ndata: ${
        JSON.stringify(problemDocument(item.end.problem))
      }\n\n`,
    );
  } else {
    outgoing.destroy();
  }
}

function waitForDrain(outgoing: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const settle = (): void => {
      outgoing.off("drain", settle);
      outgoing.off("close", settle);
      resolve();
    };
    outgoing.on("drain", settle);
    outgoing.on("close", settle);
  });
}
