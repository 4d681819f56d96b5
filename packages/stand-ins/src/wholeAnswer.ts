import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { StreamCut } from "./answerStream.ts";
import { type ShownAnswer, wholeBody } from "./chatShape.ts";

/** Options of {@link answerWhole}. */
export interface WholeAnswerOptions {
  readonly shown: ShownAnswer;
  readonly outgoing: ServerResponse;
  readonly cut?: StreamCut | undefined;
  /** An answer sent once more behind the first, which the connection's next reader may take. */
  readonly second?: ShownAnswer | undefined;
}

/** Sends an answer in one piece once it is finished; a lost one breaks the connection. */
export function answerWhole(
  { shown, outgoing, cut, second }: WholeAnswerOptions,
): void {
  const { answer, nonce } = shown;
  const stop = answer.read(() => {
    if (answer.state === "running") return;
    stop();
    if (answer.state !== "finished") return void outgoing.destroy();
    const body = wholeBody(shown);
    outgoing.writeHead(200, {
      "content-type": "application/json",
      "x-request-nonce": nonce,
    });
    const { socket } = outgoing;
    if (cut === undefined) {
      outgoing.end(body, () => second && socket?.write(rawAnswer(second)));
      return;
    }
    const part = body.slice(0, Math.floor(body.length / 2));
    if (cut.kind === "truncate") outgoing.end(part);
    else outgoing.write(part, () => outgoing.destroy());
  });
  outgoing.on("close", stop);
}

function rawAnswer(shown: ShownAnswer): string {
  const body = wholeBody(shown);
  return [
    "HTTP/1.1 200 OK",
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    `x-request-nonce: ${shown.nonce}`,
    "",
    body,
  ].join("\r\n");
}
