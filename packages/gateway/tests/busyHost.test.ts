import test from "ava";
import {
  responseHead,
  sendRequest,
  startGateway,
  startUpstream,
} from "./helpers/fleet.ts";

/** Long enough to count for seconds on any machine. */
const STALL_MS = Number.MAX_SAFE_INTEGER;
const TIME_LEFT_MS = 20_000;
const LAG_MS = 300;

test("an overloaded host forwards no more time than its callers have left", async (t) => {
  // Guards against upstreams that work past the caller's deadline because it
  // was counted from when the request was read.
  const upstream = await startUpstream((received) => {
    received.socket.write(
      responseHead(received, { "content-length": 2 }) + "ok",
    );
  });
  const host = await startGateway({
    upstreams: [upstream],
    route: { timeout: TIME_LEFT_MS },
  });
  const { lag, timer } = host.gateway.context;
  const headers = { "time-left": String(TIME_LEFT_MS) };
  await sendRequest(host.url, { headers });
  lag.observe(STALL_MS, timer.now());
  await sendRequest(host.url, { headers });
  const [before, after] = upstream.received.map((received) =>
    Number(received.header("time-left"))
  );
  t.true(before! > 0.7 * TIME_LEFT_MS);
  t.true(after! <= 0.5 * TIME_LEFT_MS);
  await host.close();
});

test("requests that waited unread while the event loop was blocked are refused", async (t) => {
  // Guards against sending requests whose callers have left meanwhile.
  const upstream = await startUpstream((received) => {
    received.socket.write(
      responseHead(received, { "content-length": 2 }) + "ok",
    );
  });
  const host = await startGateway({ upstreams: [upstream] });
  const { lag, timer } = host.gateway.context;
  lag.observe(LAG_MS, timer.now());
  const requests = Array.from(
    { length: 12 },
    (_, index) => sendRequest(host.url, { headers: { id: `q${index}` } }),
  );
  // Blocks the event loop after all callers have started to connect.
  await new Promise((resolve) => setTimeout(resolve, 0));
  const until = timer.now() + LAG_MS;
  while (timer.now() < until);
  const seen = await Promise.all(requests);
  const served = seen.filter(({ status }) => status === 200);
  const refused = seen.filter(({ body }) => body.includes("host-behind"));
  t.is(served.length + refused.length, seen.length);
  t.true(refused.length > 0);
  t.is(upstream.received.length, served.length);
  t.is((await sendRequest(host.url)).status, 200);
  await host.close();
});

test("a request shed by an overloaded host does not run and gets a retry-after", async (t) => {
  // Guards against shed requests that reach an upstream or lack a retry delay.
  const upstream = await startUpstream((received) => {
    received.socket.write(
      responseHead(received, { "content-length": 2 }) + "ok",
    );
  });
  const host = await startGateway({ upstreams: [upstream], lowestLag: 15 });
  const { lag, timer } = host.gateway.context;
  const now = timer.now();
  for (const at of [0, 60, 120, 180]) lag.observe(LAG_MS, now + at);
  // The host's own timers would report no lag.
  Object.assign(lag, { observe: () => {} });
  const seen = [];
  for (let index = 0; index < 8; index++) {
    seen.push(await sendRequest(host.url));
  }
  const refused = seen.filter(({ status }) => status === 503);
  t.true(refused.length > 0);
  t.is(upstream.received.length, seen.length - refused.length);
  for (const { body, headers } of refused) {
    t.is(JSON.parse(body).reason, "host-behind");
    t.true(Number(headers["retry-after"]) > 0);
  }
  await host.close();
});
