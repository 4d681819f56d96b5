import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { ResponseInterruption } from "./responseStream.ts";
import {
  createResponseBody,
  type SentResponse,
} from "./chatCompletionFormat.ts";

/** Options of {@link sendNonStreamedResponse}. */
export interface NonStreamedResponseOptions {
  readonly response: SentResponse;
  readonly outgoing: ServerResponse;
  readonly interruption?: ResponseInterruption | undefined;
  /** An answer sent once more behind the first, which the connection's next reader may take. */
  readonly extraResponse?: SentResponse | undefined;
}

/** Sends an answer in one piece once it is finished; a lost one breaks the connection. */
export function sendNonStreamedResponse(
  { response: shown, outgoing, interruption: cut, extraResponse: second }:
    NonStreamedResponseOptions,
): void {
  const { response: answer, nonce } = shown;
  const stop = answer.subscribe(() => {
    if (answer.state === "running") return;
    stop();
    if (answer.state !== "finished") return void outgoing.destroy();
    const body = createResponseBody(shown);
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

function rawAnswer(shown: SentResponse): string {
  const body = createResponseBody(shown);
  return [
    "HTTP/1.1 200 OK",
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    `x-request-nonce: ${shown.nonce}`,
    "",
    body,
  ].join("\r\n");
}
