import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import {
  createResponseBody,
  type SentResponse,
} from "./chatCompletionFormat.ts";
import type { ResponseInterruption } from "./responseStream.ts";

/** Options of {@link sendNonStreamedResponse}. */
export interface NonStreamedResponseOptions {
  readonly response: SentResponse;
  readonly outgoing: ServerResponse;
  readonly interruption?: ResponseInterruption | undefined;
  /** Fault: sends this unrequested response next on the same connection. */
  readonly extraResponse?: SentResponse | undefined;
}

/** Sends a response when complete, or closes the connection if it failed. */
export function sendNonStreamedResponse(
  { response, outgoing, interruption, extraResponse }:
    NonStreamedResponseOptions,
): void {
  const { engineResponse, nonce } = response;
  const unsubscribe = engineResponse.subscribe(() => {
    if (engineResponse.state === "running") return;
    unsubscribe();
    if (engineResponse.state !== "finished") return void outgoing.destroy();
    const body = createResponseBody(response);
    outgoing.writeHead(200, {
      "content-type": "application/json",
      "x-request-nonce": nonce,
    });
    const { socket } = outgoing;
    if (interruption === undefined) {
      outgoing.end(
        body,
        () => extraResponse && socket?.write(createRawResponse(extraResponse)),
      );
      return;
    }
    const partialBody = body.slice(0, Math.floor(body.length / 2));
    if (interruption.kind === "truncate") outgoing.end(partialBody);
    else outgoing.write(partialBody, () => outgoing.destroy());
  });
  outgoing.on("close", unsubscribe);
}

function createRawResponse(response: SentResponse): string {
  const body = createResponseBody(response);
  return [
    "HTTP/1.1 200 OK",
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    `x-request-nonce: ${response.nonce}`,
    "",
    body,
  ].join("\r\n");
}
