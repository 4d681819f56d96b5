import { connect } from "node:net";
import test from "ava";
import { responseHead, startGateway, startUpstream } from "./helpers/fleet.ts";

/** Sends an HTTP/1.0 request, and returns how its connection ends. */
function sendOldRequest(
  url: string,
): Promise<{ text: string; isReset: boolean }> {
  const { hostname, port } = new URL(url);
  const socket = connect(Number(port), hostname);
  let text = "";
  socket.on("data", (chunk) => (text += chunk.toString()));
  socket.write(
    "GET /a/1 HTTP/1.0\r\nhost: plans.example\r\nid: q1\r\nkey: k\r\n\r\n",
  );
  return new Promise((resolve) => {
    socket.on("error", () => {});
    socket.on("close", (isReset) => resolve({ text, isReset }));
  });
}

test("a stream that is cut for a caller of HTTP/1.0 does not look complete", async (t) => {
  // Guards against a truncated response that ends as a complete one would.
  const upstream = await startUpstream((received) => {
    received.socket.write(`${responseHead(received)}id: 1\ndata: a\n\n`);
    setTimeout(() => received.socket.resetAndDestroy(), 30);
  });
  const host = await startGateway({
    upstreams: [upstream],
    route: { isStreaming: true, repeatability: "at-most-once" },
  });
  t.teardown(() => host.close());
  const { text, isReset } = await sendOldRequest(host.url);
  t.regex(text, /data: a/);
  t.true(isReset);
});
