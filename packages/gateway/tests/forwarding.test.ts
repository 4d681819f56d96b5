import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import { asId, type UpstreamId } from "@wasabivane/common";
import {
  buildPolicy,
  buildRoute,
  goodHead,
  type ReceivedRequest,
  sendRequest,
  startGateway,
  startUpstream,
} from "./helpers/fleet.ts";

function answerWhole(received: ReceivedRequest): void {
  received.socket.write(goodHead(received, { "content-length": 2 }) + "ok");
}

test("method, path, query, fields and body reach the upstream unchanged", async (t) => {
  const upstream = await startUpstream(answerWhole);
  const fleet = await startGateway({ upstreams: [upstream] });
  const seen = await sendRequest(fleet.url, {
    path: "/a/b%20c/?x=1&y=%2F",
    body: "{ }",
    headers: { "x-other": "kept", connection: "close" },
  });
  t.deepEqual([seen.status, seen.body], [200, "ok"]);
  const [received] = upstream.received;
  t.true(received!.head.startsWith("POST /a/b%20c/?x=1&y=%2F HTTP/1.1"));
  t.is(received!.body, "{ }");
  t.is(received!.field("x-other"), "kept");
  t.is(received!.field("host"), "plans.example");
  t.is(received!.field("key"), undefined);
  t.is(received!.field("upstream"), "u0");
  await fleet.close();
});

test("the length that an answer without a body names is the upstream's", async (t) => {
  const upstream = await startUpstream((received) => {
    received.socket.write(goodHead(received, { "content-length": 42 }));
  });
  const fleet = await startGateway({ upstreams: [upstream] });
  const seen = await sendRequest(fleet.url, { method: "HEAD" });
  t.deepEqual([seen.status, seen.headers["content-length"]], [200, "42"]);
  await fleet.close();
});

test("an upstream that cannot be reached costs a request nothing", async (t) => {
  // The upstream is gone but still listed. No byte of the request left, so that even
  // one that may run only once goes to another upstream.
  const gone = await startUpstream(answerWhole);
  gone.close();
  const sound = await startUpstream(answerWhole);
  const fleet = await startGateway({
    upstreams: [gone, sound],
    route: { repeatability: "at-most-once", maximumAttempts: 1 },
  });
  for (const id of ["q1", "q2", "q3"]) {
    const seen = await sendRequest(fleet.url, { headers: { id } });
    t.is(seen.status, 200);
  }
  t.is(sound.received.length, 3);
  await fleet.close();
});

test("a request that may run only once is not sent again after a failure", async (t) => {
  // The upstream runs the request and its answer is lost with the connection. A
  // second upstream would run it twice; "not run" would be untrue.
  const losing = (received: ReceivedRequest): void =>
    void received.socket.resetAndDestroy();
  const upstreams = [await startUpstream(losing), await startUpstream(losing)];
  const fleet = await startGateway({
    upstreams,
    route: { repeatability: "at-most-once", maximumAttempts: 2 },
  });
  const seen = await sendRequest(fleet.url);
  t.is(seen.status, 502);
  t.is(seen.headers["retry-after"], undefined);
  const runs = upstreams.map(({ received }) => received.length);
  t.is(runs[0]! + runs[1]!, 1);
  await fleet.close();
});

test("an idempotent request is sent again after a failure of the upstream's own", async (t) => {
  const failing = await startUpstream((received) => {
    received.socket.write(
      `HTTP/1.1 500 No\r\nid: ${received.field("id")}\r\n` +
        "content-length: 0\r\n\r\n",
    );
  });
  const sound = await startUpstream(answerWhole);
  const fleet = await startGateway({ upstreams: [failing, sound] });
  for (const id of ["q1", "q2", "q3", "q4"]) {
    t.is((await sendRequest(fleet.url, { headers: { id } })).status, 200);
  }
  t.is(failing.received.length + sound.received.length > 4, true);
  await fleet.close();
});

test("a route or key that the policy does not hold is denied, without a policy nothing is", async (t) => {
  const upstream = await startUpstream(answerWhole);
  const fleet = await startGateway({ upstreams: [upstream] });
  t.is((await sendRequest(fleet.url, { path: "/none/" })).status, 404);
  t.is(
    (await sendRequest(fleet.url, { headers: { key: "stolen" } })).status,
    401,
  );
  t.is(upstream.received.length, 0);
  await fleet.close();
});

test("an older policy never replaces a newer one", async (t) => {
  const fleet = await startGateway({ upstreams: [] });
  const { gateway } = fleet;
  const bytesOf = (version: number, prefix: string): Uint8Array =>
    new TextEncoder().encode(JSON.stringify(
      buildPolicy({ version, routes: [buildRoute({ prefix })] }),
    ));
  gateway.adoptPolicy(bytesOf(5, "/new/"), 0);
  gateway.adoptPolicy(bytesOf(4, "/old/"), 0);
  const { index } = gateway.context.policies;
  t.truthy(index!.route("plans.example", "/new/x"));
  t.is(index!.route("plans.example", "/old/x"), undefined);
  await fleet.close();
});

test("a body above the bound is refused and its rest is not taken for a request", async (t) => {
  const upstream = await startUpstream(answerWhole);
  const fleet = await startGateway({ upstreams: [upstream] });
  const seen = await sendRequest(fleet.url, { body: "x".repeat(100_001) });
  t.is(seen.status, 413);
  t.is(seen.headers.connection, "close");
  t.is(upstream.received.length, 0);
  await fleet.close();
});

test("a host that is about to end refuses what it could not finish", async (t) => {
  // A request comes in the last second before the process ends. Passed on, it
  // would be cut at its upstream; refused as not run it is served elsewhere.
  const upstream = await startUpstream(answerWhole);
  const fleet = await startGateway({ upstreams: [upstream], stopGrace: 2_000 });
  const stopped = fleet.gateway.stop();
  const seen = await sendRequest(fleet.url);
  t.is(seen.status, 503);
  t.regex(seen.body, /stopping/);
  t.is(upstream.received.length, 0);
  await stopped;
  upstream.close();
});

test("a connection whose answer began before the stop closes with its end", async (t) => {
  // The head of the answer left before the order to stop, without advice to close.
  // The caller would send its next request on the connection, seconds later, to a
  // host that is about to end.
  const upstream = await startUpstream((received) => {
    const head = goodHead(received, { "content-length": 22 });
    received.socket.write(head + "data: one\n\n");
  });
  const fleet = await startGateway({
    upstreams: [upstream],
    route: { isStreaming: true, repeatability: "at-most-once", timeout: 9_000 },
    stopGrace: 20_000,
  });
  const { port, hostname } = new URL(fleet.url);
  const caller = connect(Number(port), hostname);
  const send = (id: string): void =>
    void caller.write(
      `GET /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: ${id}\r\nkey: k\r\n\r\n`,
    );
  let seen = "";
  caller.on("error", () => {});
  caller.on("data", (chunk) => {
    const isEnd = !seen.includes("two") && String(chunk).includes("two");
    seen += chunk;
    if (isEnd) send("q2");
  });
  send("q1");
  while (!seen.includes("one")) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  const stopped = fleet.gateway.stop();
  upstream.received[0]!.socket.write("data: two\n\n");
  await once(caller, "close");
  t.is(upstream.received.length, 1);
  t.notRegex(seen.slice(10), /HTTP\/1.1/);
  await stopped;
  upstream.close();
});

test("an ordered stop serves what comes meanwhile and cuts nothing", async (t) => {
  // The balancer notices only after two questions that a host is not ready. Requests
  // on standing connections still come, and one runs at an upstream; all get
  // their answers, with the advice to close, before the process ends.
  const upstream = await startUpstream((received) =>
    void setTimeout(() => answerWhole(received), 150)
  );
  // Time enough for the request that comes late, however slow the machine is.
  const fleet = await startGateway({
    upstreams: [upstream],
    stopGrace: 20_000,
  });
  const { port, hostname } = new URL(fleet.url);
  const caller = connect(Number(port), hostname);
  const send = (id: string): void =>
    void caller.write(
      `GET /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: ${id}\r\nkey: k\r\n\r\n`,
    );
  send("q1");
  const stopped = fleet.gateway.stop();
  t.false(fleet.gateway.isReady);
  const [first] = await once(caller, "data");
  t.regex(String(first), /^HTTP\/1.1 200/);
  const late = await sendRequest(fleet.url, { headers: { id: "q2" } });
  t.is(late.status, 200);
  t.is(late.headers.connection, "close");
  await stopped;
  for (const { close } of [upstream]) close();
});

test("a request that crosses the close of its connection does not run", async (t) => {
  // A stopping host closes an idle connection while a request is on its way. The
  // caller sees the close, takes the request for unread and sends it elsewhere; run
  // here as well, it would run twice or its answer be lost.
  const waiting: ReceivedRequest[] = [];
  const upstream = await startUpstream((received) => {
    if (received.field("id") === "q1") waiting.push(received);
    else answerWhole(received);
  });
  const fleet = await startGateway({
    upstreams: [upstream],
    route: { repeatability: "at-most-once", timeout: 15_000 },
    stopGrace: 20_000,
  });
  const { port, hostname } = new URL(fleet.url);
  // A request under way keeps the host from ending before the crossing one is there.
  const first = sendRequest(fleet.url, { headers: { id: "q1" } });
  const idle = connect({
    port: Number(port),
    host: hostname,
    allowHalfOpen: true,
  });
  idle.on("error", () => {});
  await once(idle, "connect");
  const stopped = fleet.gateway.stop();
  await once(idle.resume(), "end");
  idle.write(
    "POST /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: q2\r\nkey: k\r\n" +
      "content-length: 0\r\n\r\n",
  );
  // A half-closed connection tells of the other side's close only when written to.
  const writing = setInterval(() => idle.write("\r\n"), 10);
  const ran = (): boolean => upstream.received.length > 1;
  while (!idle.destroyed && !ran()) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  clearInterval(writing);
  t.false(ran());
  answerWhole(waiting[0]!);
  t.is((await first).status, 200);
  await stopped;
  upstream.close();
});

test("an upstream that announced its leaving gets no further request", async (t) => {
  const leaving = await startUpstream(answerWhole);
  const fleet = await startGateway({ upstreams: [leaving] });
  fleet.gateway.upstreamUpdates.apply({
    ...fleet.gateway.context.directory.get(asId<UpstreamId>("u0"))!,
    isLeaving: true,
  });
  const seen = await sendRequest(fleet.url, {
    headers: { "time-left": "300" },
  });
  t.is(seen.status, 503);
  t.is(leaving.received.length, 0);
  await fleet.close();
});
