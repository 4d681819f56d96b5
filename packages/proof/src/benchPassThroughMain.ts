import type { AddressInfo } from "node:net";
import process from "node:process";
import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { Agent } from "undici";

/** The barest relay: one hono route, one undici request, no decision at all. */
const upstream = process.argv[2]!;
const agent = new Agent({ connections: 512, pipelining: 1 });
const app = new Hono();

app.post("/v1/chat/completions", async (context) => {
  const answer = await agent.request({
    origin: upstream,
    path: "/v1/chat/completions",
    method: "POST",
    headers: { "content-type": "application/json", "x-request-nonce": "0" },
    body: Buffer.from(await context.req.arrayBuffer()),
  });
  return new Response(answer.body as unknown as ReadableStream, {
    status: answer.statusCode,
    headers: { "content-type": String(answer.headers["content-type"]) },
  });
});

const server = serve(
  { fetch: app.fetch, hostname: "127.0.0.1", port: 0 },
  () => {
    const { port } = server.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({ port })}\n`);
  },
);
