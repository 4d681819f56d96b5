import test, { type ExecutionContext } from "ava";
import {
  type RawUpstream,
  type RunningGateway,
  startGateway,
  waitUntil,
} from "./helpers/fleet.ts";
import { connectCaller, type RawCaller } from "./helpers/rawCaller.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

const REQUEST = "GET /a/1 HTTP/1.1\r\nhost: plans.example\r\n" +
  "id: q\r\nkey: k\r\n\r\n";

/** Requests that one connection may have without a response. */
const PENDING = 16;
const FLOOD = 5_000;

async function setUp(
  t: ExecutionContext,
  { delay = 0 }: { delay?: number } = {},
): Promise<{ host: RunningGateway; upstream: RawUpstream; caller: RawCaller }> {
  const upstream = await startServing({}, { delay });
  const host = await startGateway({
    upstreams: [upstream],
    slots: PENDING,
    route: { target: 20_000, timeout: 60_000 },
  });
  t.teardown(() => host.close());
  const caller = await connectCaller(host);
  t.teardown(() => caller.socket.destroy());
  return { host, upstream, caller };
}

test("a request gets its response though a malformed one follows it", async (t) => {
  // Guards against an error that a caller takes for the response to a request
  // that has run.
  const { upstream, caller } = await setUp(t, { delay: 300 });
  caller.socket.write(REQUEST);
  await waitUntil(() => upstream.received.length === 1);
  caller.socket.write("no request\r\n\r\n");
  await waitUntil(() => caller.isClosed());
  t.regex(caller.seen(), /^HTTP\/1\.1 200 [^]*ok$/);
});

test("a request gets its response though the head behind it stays incomplete", async (t) => {
  // Guards against a refusal for lack of time of a request that has run.
  const { upstream, caller } = await setUp(t, { delay: 4_500 });
  caller.socket.write(REQUEST + "GET /a/1 HTTP/1.1\r\n");
  await waitUntil(() => caller.isClosed());
  t.is(upstream.received.length, 1);
  t.regex(caller.seen(), /^HTTP\/1\.1 200 [^]*ok$/);
});

test("a malformed body is refused as such", async (t) => {
  // Guards against callers that wait for a response to a part of a request.
  const { upstream, caller } = await setUp(t);
  caller.socket.write(
    "POST /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: q\r\nkey: k\r\n" +
      "transfer-encoding: chunked\r\n\r\n1\r\nx\r\nzz\r\n",
  );
  await waitUntil(() => caller.isClosed());
  t.is(upstream.received.length, 0);
  t.regex(caller.seen(), /^HTTP\/1\.1 400 /);
});

test("requests with an unknown expectation are bounded like others", async (t) => {
  // Guards against pipelined requests that the HTTP server answers by itself.
  const { upstream, caller } = await setUp(t);
  for (let index = 0; index < FLOOD; index++) {
    caller.socket.write(
      REQUEST.replace("id: q", `expect: more\r\nid: q${index}`),
    );
  }
  await waitUntil(() => caller.isClosed());
  t.is(caller.seen().split("HTTP/1.1 200 ").length - 1, PENDING);
  t.is(caller.seen().split("HTTP/1.1 ").length - 1, PENDING);
  t.is(upstream.received.length, PENDING);
});
