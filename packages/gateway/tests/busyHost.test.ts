import test from "ava";
import {
  responseHead,
  sendRequest,
  startGateway,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";
import { CallersApart, requestText } from "./helpers/callersApart.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

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

test("requests that waited unread are sent with no more time than is left, unless their callers have left", async (t) => {
  // Guards against sending requests whose callers have left meanwhile, and against
  // refusing all others for them.
  const upstream = await startServing();
  const host = await startGateway({
    upstreams: [upstream],
    slots: 12,
    route: { timeout: TIME_LEFT_MS },
  });
  const [leaving, staying] = [new CallersApart(), new CallersApart()];
  t.teardown(() => Promise.all([leaving.close(), staying.close()]));
  const port = Number(new URL(host.url).port);
  const textsOf = (name: string): string[] =>
    Array.from(
      { length: 6 },
      (_, index) =>
        requestText(`${name}${index}`, { "time-left": TIME_LEFT_MS }),
    );
  leaving.runDuringStall([
    { kind: "open", port, count: 6 },
    { kind: "send", texts: textsOf("left") },
    { kind: "leave", departure: "close" },
  ]);
  staying.runDuringStall([
    { kind: "open", port, count: 6 },
    { kind: "send", texts: textsOf("stays") },
  ]);
  // Blocks the event loop after all callers have sent.
  const { lag, timer } = host.gateway.context;
  lag.observe(LAG_MS, timer.now());
  const until = timer.now() + LAG_MS;
  while (timer.now() < until);
  await waitUntil(() => upstream.received.length >= 6);
  t.is((await sendRequest(host.url)).status, 200);
  const ids = upstream.received.map((request) => request.header("id")!);
  t.deepEqual(
    ids.filter((id) => id !== "q1").toSorted(),
    textsOf("stays").map((_, index) => `stays${index}`),
  );
  for (const request of upstream.received.slice(0, 6)) {
    t.true(Number(request.header("time-left")) <= TIME_LEFT_MS - LAG_MS);
  }
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
