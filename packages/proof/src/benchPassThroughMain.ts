import type { AddressInfo } from "node:net";
import process from "node:process";
import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { Agent } from "undici";

/** Minimal proxy without scheduling, as the baseline of the benchmark. */
const upstream = process.argv[2]!;
const agent = new Agent({ connections: 512, pipelining: 1 });
const app = new Hono();

app.post("/v1/chat/completions", async (context) => {
  const response = await agent.request({
    origin: upstream,
    path: "/v1/chat/completions",
    method: "POST",
    headers: { "content-type": "application/json", "x-request-nonce": "0" },
    body: Buffer.from(await context.req.arrayBuffer()),
  });
  return new Response(response.body as unknown as ReadableStream, {
    status: response.statusCode,
    headers: { "content-type": String(response.headers["content-type"]) },
  });
});

const server = serve(
  { fetch: app.fetch, hostname: "127.0.0.1", port: 0 },
  () => {
    const { port } = server.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({ port })}\n`);
  },
);
