import test from "ava";
import {
  goodHead,
  sendRequest,
  startGateway,
  startUpstream,
} from "./helpers/fleet.ts";

/** So long that it counts for seconds yet, however slow the machine is that tests run on. */
const STALL_MS = Number.MAX_SAFE_INTEGER;
const TIME_LEFT_MS = 20_000;
const LAG_MS = 300;

test("a host that is behind hands on no more time than its callers have left", async (t) => {
  // Guards against upstreams that work on after the caller's deadline, since the host
  // counted from when it came to read the request.
  const upstream = await startUpstream((received) => {
    received.socket.write(goodHead(received, { "content-length": 2 }) + "ok");
  });
  const fleet = await startGateway({
    upstreams: [upstream],
    route: { timeout: TIME_LEFT_MS },
  });
  const { lag, timer } = fleet.gateway.context;
  const headers = { "time-left": String(TIME_LEFT_MS) };
  await sendRequest(fleet.url, { headers });
  lag.observe(STALL_MS, timer.now());
  await sendRequest(fleet.url, { headers });
  const [before, after] = upstream.received.map((received) =>
    Number(received.field("time-left"))
  );
  t.true(before! > 0.7 * TIME_LEFT_MS);
  t.true(after! <= 0.5 * TIME_LEFT_MS);
  await fleet.close();
});

test("what lay unread behind long turns is refused, not sent on", async (t) => {
  // Guards against upstreams that get requests whose callers left while the host stood still.
  const upstream = await startUpstream((received) => {
    received.socket.write(goodHead(received, { "content-length": 2 }) + "ok");
  });
  const fleet = await startGateway({ upstreams: [upstream] });
  const { lag, timer } = fleet.gateway.context;
  lag.observe(LAG_MS, timer.now());
  const asked = Array.from({ length: 12 }, () => sendRequest(fleet.url));
  // All of them connect while the host stands still.
  await new Promise((resolve) => setTimeout(resolve, 0));
  const until = timer.now() + LAG_MS;
  while (timer.now() < until);
  const seen = await Promise.all(asked);
  const served = seen.filter(({ status }) => status === 200);
  const refused = seen.filter(({ body }) => body.includes("host-behind"));
  t.is(served.length + refused.length, seen.length);
  t.true(refused.length > 0);
  t.is(upstream.received.length, served.length);
  t.is((await sendRequest(fleet.url)).status, 200);
  await fleet.close();
});

test("what a host that is behind refuses is not run, and says when to come back", async (t) => {
  // Guards against refusals at the door that reach an upstream or leave callers without a time.
  const upstream = await startUpstream((received) => {
    received.socket.write(goodHead(received, { "content-length": 2 }) + "ok");
  });
  const fleet = await startGateway({ upstreams: [upstream], lowestLag: 15 });
  const { lag, timer } = fleet.gateway.context;
  const now = timer.now();
  for (const at of [0, 60, 120, 180]) lag.observe(LAG_MS, now + at);
  // The host's own timers are on time here and would show no lag.
  Object.assign(lag, { observe: () => {} });
  const seen = [];
  for (let index = 0; index < 8; index++) {
    seen.push(await sendRequest(fleet.url));
  }
  const refused = seen.filter(({ status }) => status === 503);
  t.true(refused.length > 0);
  t.is(upstream.received.length, seen.length - refused.length);
  for (const { body, headers } of refused) {
    t.is(JSON.parse(body).reason, "host-behind");
    t.true(Number(headers["retry-after"]) > 0);
  }
  await fleet.close();
});
