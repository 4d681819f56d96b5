import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";

/** Upstream that streams one token per chunk at the target's rate. */
const TOKEN_INTERVAL_MS = 40;
const NONCE_HEADER = "x-request-nonce";

function sendStream(nonce: string, outgoing: ServerResponse): void {
  outgoing.writeHead(200, {
    "content-type": "text/event-stream",
    [NONCE_HEADER]: nonce,
  });
  const choices = [{
    index: 0,
    delta: { content: " word" },
    finish_reason: null,
  }];
  const token = `data: ${
    JSON.stringify({
      id: `chatcmpl-${nonce}`,
      object: "chat.completion.chunk",
      choices,
    })
  }\n\n`;
  const interval = setInterval(() => outgoing.write(token), TOKEN_INTERVAL_MS);
  outgoing.once("close", () => clearInterval(interval));
}

const server = createServer((incoming, outgoing) => {
  const nonce = String(incoming.headers[NONCE_HEADER]);
  if (incoming.url !== "/v1/chat/completions") {
    incoming.resume();
    outgoing.writeHead(404).end();
    return;
  }
  incoming.resume().once("end", () => sendStream(nonce, outgoing));
});
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
