import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";

/**
 * Upstream that returns a constant response and echoes the nonce, so that a
 * benchmark measures only the proxy in front of it.
 */
const NONCE_HEADER = "x-request-nonce";
const TOKENS_PER_WRITE = 4;
const CONTENT = "word ".repeat(40);

function sendCompletion(nonce: string, outgoing: ServerResponse): void {
  const body = JSON.stringify({
    id: `chatcmpl-${nonce}`,
    object: "chat.completion",
    choices: [{
      index: 0,
      message: { role: "assistant", content: CONTENT },
      finish_reason: "stop",
    }],
    usage: { prompt_tokens: 8, completion_tokens: 40 },
  });
  outgoing.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    [NONCE_HEADER]: nonce,
  });
  outgoing.end(body);
}

function formatChunk(
  nonce: string,
  content: string,
  finish: string | null,
): string {
  const choices = [{ index: 0, delta: { content }, finish_reason: finish }];
  const id = `chatcmpl-${nonce}`;
  return `data: ${
    JSON.stringify({ id, object: "chat.completion.chunk", choices })
  }\n\n`;
}

function sendStream(
  nonce: string,
  { tokens, outgoing }: { tokens: number; outgoing: ServerResponse },
): void {
  outgoing.writeHead(200, {
    "content-type": "text/event-stream",
    [NONCE_HEADER]: nonce,
  });
  const token = formatChunk(nonce, " word", null);
  const end = `${formatChunk(nonce, "", "stop")}data: [DONE]\n\n`;
  let sent = 0;
  const send = (): void => {
    while (sent < tokens) {
      const count = Math.min(TOKENS_PER_WRITE, tokens - sent);
      sent += count;
      if (!outgoing.write(token.repeat(count))) {
        outgoing.once("drain", send);
        return;
      }
    }
    outgoing.end(end);
  };
  send();
}

async function handleRequest(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const parts: Buffer[] = [];
  for await (const part of incoming) parts.push(part as Buffer);
  if (incoming.url !== "/v1/chat/completions") {
    outgoing.writeHead(404).end();
    return;
  }
  const nonce = String(incoming.headers[NONCE_HEADER]);
  const { stream, max_tokens: tokens = 1 } = JSON.parse(
    Buffer.concat(parts).toString(),
  ) as {
    stream?: boolean;
    "max_tokens"?: number;
  };
  if (stream) sendStream(nonce, { tokens, outgoing });
  else sendCompletion(nonce, outgoing);
}

const server = createServer((incoming, outgoing) =>
  void handleRequest(incoming, outgoing)
);
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
