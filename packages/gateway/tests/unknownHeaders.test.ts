import test from "ava";
import {
  responseHead,
  sendRequest,
  startGateway,
  startUpstream,
} from "./helpers/fleet.ts";

test("a response header that no part knows is logged once and counted each time", async (t) => {
  // Guards against a new term of upstreams that requests violate unnoticed.
  const upstream = await startUpstream((received) => {
    const headers = { "new-term": "secret", "content-length": 2 };
    received.socket.write(`${responseHead(received, headers)}ok`);
  });
  const host = await startGateway({ upstreams: [upstream] });
  t.teardown(() => host.close());
  await sendRequest(host.url);
  await sendRequest(host.url);
  const lines = host.lines.filter(({ event }) =>
    event === "upstream_header_unknown"
  );
  t.deepEqual(lines.map(({ name }) => name), ["new-term"]);
  t.notRegex(JSON.stringify(host.lines), /secret/);
  const metrics = await host.gateway.context.metrics.text();
  t.regex(metrics, /name="upstream_headers_unknown"\} 2/);
});

test("the number of logged names is bounded", async (t) => {
  // Guards against an upstream that makes up names and fills the log.
  let count = 0;
  const upstream = await startUpstream((received) => {
    const headers = Object.fromEntries(
      Array.from({ length: 20 }, () => [`made-up-${count++}`, "x"]),
    );
    const head = responseHead(received, { ...headers, "content-length": 2 });
    received.socket.write(`${head}ok`);
  });
  const host = await startGateway({ upstreams: [upstream] });
  t.teardown(() => host.close());
  for (let sent = 0; sent < 4; sent++) await sendRequest(host.url);
  const lines = host.lines.filter(({ event }) =>
    event === "upstream_header_unknown"
  );
  t.is(lines.length, 32);
});
