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

/** Steps written at once; the slow reader's bound counts before and after. */
const MAX_STEPS = 64;

/** Sends a problem as the whole answer. */
export function writeProblem(outgoing: ServerResponse, problem: Problem): void {
  const body = JSON.stringify(problemDocument(problem));
  outgoing.writeHead(PROBLEMS[problem.name].status, {
    ...problemHeaders(problem),
    "content-length": Buffer.byteLength(body),
  });
  outgoing.end(body);
}

/**
 * Sends a problem to a caller that may still be sending. A connection closed
 * with bytes unread is reset, and the reset can overtake the document; so what
 * still comes is read and dropped, up to a bound. The listener bounds the time.
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
 * Relays an answer to its caller, as fast as the caller reads. An answer that
 * fails after its head was sent ends so that no part can be taken for the
 * whole: an event stream gets an error event and no end mark, anything else a
 * broken connection.
 */
export async function writeResponse(
  record: BufferedResponse,
  outgoing: ServerResponse,
): Promise<void> {
  const reader = record.openReader();
  if (reader === undefined) {
    writeProblem(outgoing, { name: "answer-gone", ending: "unknown" });
    return;
  }
  outgoing.on("close", () => reader.close());
  await pump(reader, outgoing);
  reader.close();
}

async function pump(
  reader: ResponseReader,
  outgoing: ServerResponse,
): Promise<void> {
  let head: ResponseHead | undefined;
  while (!outgoing.destroyed) {
    const steps = await nextSteps(reader);
    // What is there already leaves in one write instead of one for each part.
    outgoing.cork();
    let isDrained = true;
    for (const step of steps) {
      if (step.kind === "head") {
        head = step.head;
        outgoing.writeHead(head.status, head.headers);
      } else if (step.kind === "part") {
        isDrained = outgoing.write(step.part);
      } else {
        finish(outgoing, { head, step });
        return;
      }
    }
    outgoing.uncork();
    if (!isDrained) await drained(outgoing);
  }
}

async function nextSteps(reader: ResponseReader): Promise<ResponseItem[]> {
  const steps = [await reader.next()];
  while (steps.length < MAX_STEPS && steps.at(-1)?.kind !== "end") {
    const step = reader.poll();
    if (step === undefined) break;
    steps.push(step);
  }
  return steps;
}

function finish(
  outgoing: ServerResponse,
  { head, step }: {
    head: ResponseHead | undefined;
    step: ResponseItem & { kind: "end" };
  },
): void {
  if (step.end.kind === "whole") {
    outgoing.end();
  } else if (head === undefined) {
    writeProblem(outgoing, step.end.problem);
  } else if (head.headers["content-type"]?.startsWith("text/event-stream")) {
    outgoing.end(
      `event: error\ndata: ${
        JSON.stringify(problemDocument(step.end.problem))
      }\n\n`,
    );
  } else {
    outgoing.destroy();
  }
}

function drained(outgoing: ServerResponse): Promise<void> {
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
