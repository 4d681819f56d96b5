import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import {
  expectedResponse,
  responseLength,
  responseSeed,
  responseToken,
} from "@wasabivane/engine-model";

/** One request that reached a fake entry. */
export interface ReceivedRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Prompt of a completion; empty for plain calls. */
  readonly prompt: string;
  readonly isStreamed: boolean;
}

/** Responds to one request, correctly or with a fault. */
export type EntryBehavior = (
  request: ReceivedRequest,
  outgoing: ServerResponse,
) => void;

/** HTTP server that stands in for an entry with a given behavior. */
export class FakeEntry {
  readonly received: ReceivedRequest[] = [];
  readonly #server: Server;

  constructor(behavior: EntryBehavior) {
    this.#server = createServer((incoming, outgoing) => {
      let body = "";
      incoming.setEncoding("utf8").on("data", (part) => body += part);
      incoming.on("end", () => {
        const chat = JSON.parse(body);
        const request = {
          path: incoming.url ?? "",
          headers: incoming.headers,
          body,
          prompt: chat.messages?.[0].content ?? "",
          isStreamed: chat.stream === true,
        };
        this.received.push(request);
        behavior(request, outgoing);
      });
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Sends the complete expected response. */
export function respondCompletely(
  request: ReceivedRequest,
  outgoing: ServerResponse,
): void {
  if (request.isStreamed) {
    sendTokens(request.prompt, outgoing);
    outgoing.end("data: [DONE]\n\n");
  } else outgoing.end(JSON.stringify(createBody(request)));
}

/** Ends a stream without its end mark. */
export function respondWithoutEndMark(
  { prompt }: ReceivedRequest,
  outgoing: ServerResponse,
): void {
  sendTokens(prompt, outgoing);
  outgoing.end();
}

/** Sends the response to another prompt. */
export function respondToOtherPrompt(
  request: ReceivedRequest,
  outgoing: ServerResponse,
): void {
  respondCompletely(
    { ...request, prompt: `${request.prompt} other` },
    outgoing,
  );
}

/** Breaks the connection after the tokens. */
export function breakConnection(
  { prompt }: ReceivedRequest,
  outgoing: ServerResponse,
): void {
  sendTokens(prompt, outgoing);
  outgoing.write("", () => outgoing.destroy());
}

/** Ends a started stream with an error event. */
export function respondWithErrorEvent(
  { prompt }: ReceivedRequest,
  outgoing: ServerResponse,
): void {
  sendTokens(prompt, outgoing);
  const problem = { type: "urn:wasabivane:problem:answer-broken" };
  outgoing.end(
    `event: error\ndata: ${
      JSON.stringify({ ...problem, ending: "unknown" })
    }\n\n`,
  );
}

/** Refuses the request as not run. */
export function refuseRequest(
  _request: ReceivedRequest,
  outgoing: ServerResponse,
): void {
  outgoing.writeHead(503, { "content-type": "application/problem+json" });
  outgoing.end(JSON.stringify({
    type: "urn:wasabivane:problem:shed",
    status: 503,
    ending: "not-run",
  }));
}

function createBody(request: ReceivedRequest): unknown {
  const { prompt, path, body } = request;
  if (prompt === "") return { path, body };
  const content = expectedResponse(prompt, responseLength(prompt));
  return { choices: [{ message: { content } }] };
}

function sendTokens(prompt: string, outgoing: ServerResponse): void {
  outgoing.writeHead(200, { "content-type": "text/event-stream" });
  const seed = responseSeed(prompt);
  for (let index = 0; index < responseLength(prompt); index++) {
    const delta = { content: responseToken(seed, index) };
    outgoing.write(`data: ${JSON.stringify({ choices: [{ delta }] })}\n\n`);
  }
}
