import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { asId } from "@wasabivane/common";
import test, { type ExecutionContext } from "ava";
import { CallerResponse } from "../src/callerResponse.ts";
import { UnreadResponses } from "../src/unreadResponses.ts";
import { RefusalWriter } from "../src/refusalWriter.ts";
import { RefusalSampler } from "../src/refusalSampler.ts";
import {
  buildPolicy,
  type RawUpstream,
  type RunningGateway,
  sendRequest,
  startGateway,
  waitUntil,
} from "./helpers/fleet.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

const LONG_BODY_BYTES = 120_000;
/** More than systems keep for a connection. */
const VERY_LONG_BODY_BYTES = 50_000_000;
const READING_DELAY_MS = 300;
const PIECE_BYTES = 6_000;
const BURST = 8;
/** Time in which a quota refills at first, and until it has. */
const REFILL_SECONDS = 0.1;
const FILLED_MS = 500;

interface Scene {
  readonly host: RunningGateway;
  readonly upstream: RawUpstream;
}

/** Starts a host whose only account may send {@link BURST} requests. */
async function startLimited(t: ExecutionContext): Promise<Scene> {
  const upstream = await startServing();
  const host = await startGateway({ upstreams: [upstream] });
  t.teardown(() => host.close());
  // A new host gets its credit over time: fast at first, then none.
  limitAccount(host, { version: 2, perSecond: BURST / REFILL_SECONDS });
  await sendRequest(host.url);
  upstream.received.length = 0;
  await sleep(FILLED_MS);
  limitAccount(host, { version: 3, perSecond: 1 / 3_600 });
  return { host, upstream };
}

function limitAccount(
  { gateway }: RunningGateway,
  { version, perSecond }: { version: number; perSecond: number },
): void {
  const quota = { unit: "requests", perSecond, burst: BURST, plainTokens: 1 };
  const policy = {
    ...buildPolicy({ version }),
    accounts: [{ account: asId("family"), apiKeys: ["k"], quota }],
  };
  gateway.adoptPolicy(Buffer.from(JSON.stringify(policy)), {
    confirmedAt: gateway.context.elapsed.now(),
    revision: version,
  });
}

/** Starts a host whose account has used up its quota. */
async function startOverQuota(t: ExecutionContext): Promise<Scene> {
  const scene = await startLimited(t);
  while ((await sendRequest(scene.host.url)).status === 200);
  scene.upstream.received.length = 0;
  return scene;
}

interface Caller {
  readonly socket: Socket;
  received: string;
  isEnded: boolean;
  error: Error | undefined;
}

async function openCaller({ url }: RunningGateway): Promise<Caller> {
  const { port, hostname } = new URL(url);
  const socket = connect({
    port: Number(port),
    host: hostname,
    allowHalfOpen: true,
    noDelay: true,
  });
  const caller: Caller = {
    socket,
    received: "",
    isEnded: false,
    error: undefined,
  };
  socket.on("data", (chunk) => caller.received += String(chunk));
  socket.on("end", () => caller.isEnded = true);
  socket.on("error", (error) => caller.error = error);
  await once(socket, "connect");
  return caller;
}

function headText(length: number, key = "k"): string {
  return `POST /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: q\r\nkey: ${key}\r\n` +
    `content-length: ${length}\r\n\r\n`;
}

test("a request over its quota is refused before its body arrives", async (t) => {
  // Guards against refusals that cost the reading of a long body.
  const { host, upstream } = await startOverQuota(t);
  const caller = await openCaller(host);
  caller.socket.write(headText(LONG_BODY_BYTES));
  await waitUntil(() => caller.isEnded);
  t.regex(caller.received, /^HTTP\/1.1 429 [^]*connection: close/);
  t.regex(caller.received, /retry-after: [^]*\{"reason":"over-quota"\}$/);
  t.is(upstream.received.length, 0);
  caller.socket.destroy();
});

test("a refused HEAD request whose body is still arriving gets its response", async (t) => {
  // Guards against a connection that closes without any response.
  const { host } = await startOverQuota(t);
  const caller = await openCaller(host);
  caller.socket.write(headText(LONG_BODY_BYTES).replace("POST", "HEAD"));
  await waitUntil(() => caller.isEnded || caller.error !== undefined);
  t.regex(caller.received, /^HTTP\/1.1 429 [^]*connection: close\r\n\r\n$/);
  caller.socket.destroy();
});

for (const [key, status] of [["k", 429], ["stolen", 401]] as const) {
  test(`a caller that is still sending gets its ${status} whole`, async (t) => {
    // Guards against a reset that destroys a response before it is read.
    const { host, upstream } = await startOverQuota(t);
    const caller = await openCaller(host);
    caller.socket.write(headText(LONG_BODY_BYTES, key));
    for (let sent = 0; sent < LONG_BODY_BYTES; sent += PIECE_BYTES) {
      caller.socket.write(Buffer.alloc(PIECE_BYTES));
      await new Promise((resolve) => setTimeout(resolve, 2));
    }
    await waitUntil(() => caller.isEnded || caller.error !== undefined);
    t.is(caller.error, undefined);
    t.true(caller.received.startsWith(`HTTP/1.1 ${status} `));
    t.true(caller.received.endsWith(`"}`));
    t.is(upstream.received.length, 0);
    caller.socket.destroy();
  });
}

test("a caller that never ends its refused request is cut off", async (t) => {
  // Guards against connections that stay open for callers that stall or flood.
  const { host } = await startOverQuota(t);
  const [stalling, flooding] = [await openCaller(host), await openCaller(host)];
  stalling.socket.write(headText(LONG_BODY_BYTES));
  flooding.socket.write(headText(Number.MAX_SAFE_INTEGER));
  const flood = setInterval(
    () => flooding.socket.write(Buffer.alloc(100_000)),
    1,
  );
  await waitUntil(() => flooding.socket.destroyed);
  clearInterval(flood);
  // A half-closed connection notices the other side's close only on a write.
  const writing = setInterval(() => stalling.socket.write("x"), 10);
  await waitUntil(() => stalling.socket.destroyed);
  clearInterval(writing);
  t.regex(stalling.received, /^HTTP\/1.1 429 /);
});

test("a caller of which more arrives than is discarded has time to read its refusal", async (t) => {
  // Guards against a reset that destroys a response while its caller sends.
  const { host } = await startOverQuota(t);
  const caller = await openCaller(host);
  caller.socket.pause();
  caller.socket.write(headText(VERY_LONG_BODY_BYTES));
  caller.socket.write(Buffer.alloc(VERY_LONG_BODY_BYTES));
  // Reads only once the host has discarded what it may.
  await sleep(READING_DELAY_MS);
  caller.socket.resume();
  await waitUntil(() => caller.isEnded || caller.error !== undefined);
  t.is(caller.error, undefined);
  t.regex(caller.received, /^HTTP\/1.1 429 [^]*"}$/);
  caller.socket.destroy();
});

test("a host that stops counts callers that are still sending a refused request as open", async (t) => {
  // Guards against the end of a process that resets a connection whose refusal
  // is not read yet.
  const { host } = await startOverQuota(t);
  const caller = await openCaller(host);
  caller.socket.write(headText(LONG_BODY_BYTES));
  await waitUntil(() => caller.isEnded);
  const stopped = host.gateway.stop();
  caller.socket.end(Buffer.alloc(LONG_BODY_BYTES));
  await stopped;
  const openAt = (event: string): unknown =>
    host.lines.find((line) => line["event"] === event)?.["open"];
  t.deepEqual([openAt("stopping"), openAt("stopped")], [1, 0]);
  t.is(caller.error, undefined);
  t.regex(caller.received, /^HTTP\/1.1 429 [^]*"}$/);
});

for (const length of [0, 5, 55_000]) {
  test(`a refused request with a body of ${length} bytes leaves its connection open`, async (t) => {
    // Guards against a new connection for each refusal.
    const { host } = await startOverQuota(t);
    const caller = await openCaller(host);
    for (let count = 1; count <= 3; count++) {
      caller.socket.write(headText(length));
      await waitUntil(() =>
        caller.received.split("HTTP/1.1 429").length > count
      );
      caller.socket.write(Buffer.alloc(length));
    }
    t.false(caller.isEnded);
    t.notRegex(caller.received, /connection: close/);
    caller.socket.destroy();
  });
}

test("a body of unknown length that arrived with its head leaves the connection open", async (t) => {
  // Guards against a new connection where there is nothing left to read.
  const { host } = await startOverQuota(t);
  const caller = await openCaller(host);
  const head = headText(0).replace(
    "content-length: 0",
    "transfer-encoding: chunked",
  );
  for (let count = 1; count <= 2; count++) {
    caller.socket.write(`${head}5\r\nhello\r\n0\r\n\r\n`);
    await waitUntil(() => caller.received.split("HTTP/1.1 429").length > count);
  }
  t.notRegex(caller.received, /connection: close/);
  caller.socket.destroy();
});

test("nothing is kept of a body of unknown length whose request is refused", async (t) => {
  // Guards against a buffer for each chunk until the refusal is written.
  const { host } = await startOverQuota(t);
  const writer = new RefusalWriter(host.gateway.context, () => {});
  const { memory } = host.gateway.context;
  const unreadResponses = new UnreadResponses({
    budget: memory.responses,
    idleTimeout: () => 5_000,
    onCut: () => {},
  });
  let kept: number | undefined;
  const server = createServer((request, response) => {
    setImmediate(() => kept = request.readableLength);
    const callerResponse = new CallerResponse(response, {
      shouldClose: () => false,
      unreadResponses,
    });
    const call = { request, response, callerResponse };
    writer.refuse(call, { status: 429, reason: "over-quota" });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const caller = await openCaller({ ...host, url: `http://127.0.0.1:${port}` });
  const head = headText(0).replace(
    "content-length: 0",
    "transfer-encoding: chunked",
  );
  caller.socket.write(head + "1\r\nx\r\n".repeat(1_000));
  await waitUntil(() => kept !== undefined);
  t.is(kept, 0);
  caller.socket.destroy();
});

test("a quota is charged only for requests whose body was read", async (t) => {
  // Guards against an account that pays for requests that never ran.
  const { host, upstream } = await startLimited(t);
  for (let count = 0; count < BURST; count++) {
    const caller = await openCaller(host);
    const head = headText(5).replace("\r\n\r\n", "\r\nexpect: 100-continue$&");
    caller.socket.write(`${head}he`);
    await waitUntil(() => caller.received.startsWith("HTTP/1.1 100"));
    caller.socket.destroy();
  }
  for (let count = 0; count < BURST; count++) {
    t.is((await sendRequest(host.url)).status, 200);
  }
  t.is(upstream.received.length, BURST);
});

test("all refusals are counted, and a sample is logged", async (t) => {
  // Guards against refusals that cost a log line each, and against unseen ones.
  const { host } = await startLimited(t);
  for (let count = 0; count < 25; count++) {
    await sendRequest(host.url, { headers: { key: "stolen" } });
  }
  const { metrics } = host.gateway.context;
  t.regex(await metrics.text(), /name="refused_no-account"} 25/);
  const logged = host.lines.filter(({ reason }) => reason === "no-account");
  t.true(logged.length >= 3 && logged.length < 25, `${logged.length}`);
  t.deepEqual(
    [logged[0]!.event, logged[0]!.status, logged[0]!.policy, logged[0]!.id],
    ["request_refused", 401, 3, "q1"],
  );
});

test("of each reason the first refusal of a second is logged, then one in ten", (t) => {
  // Guards against a rare reason that stays unseen behind a frequent one.
  const sampler = new RefusalSampler();
  const select = (reason: "no-account" | "over-quota", at: number): unknown =>
    sampler.select(reason, at);
  const first = Array.from({ length: 21 }, () => select("no-account", 100));
  t.deepEqual(
    first.flatMap((unlogged, index) =>
      unlogged === undefined ? [] : [[index, unlogged]]
    ),
    [[0, 0], [10, 9], [20, 9]],
  );
  t.is(select("over-quota", 200), 0);
  t.is(select("no-account", 999), undefined);
  t.is(select("no-account", 1_000), 1);
  t.is(sampler.select("convicted", 1_000), 0);
  t.is(sampler.select("convicted", 1_000), 0);
});

test("a request that names several hosts is malformed, and no upstream is to blame", async (t) => {
  // Guards against a caller whose header takes sound upstreams out of use.
  const upstream = await startServing();
  const host = await startGateway({ upstreams: [upstream] });
  t.teardown(() => host.close());
  const socket = connect(Number(new URL(host.url).port), "127.0.0.1");
  socket.write(
    "GET /a/1 HTTP/1.1\r\nhost: plans.example\r\nhost: plans.example\r\n" +
      "id: q1\r\nkey: k\r\nconnection: close\r\n\r\n",
  );
  let text = "";
  for await (const chunk of socket) text += String(chunk);
  t.regex(text, /^HTTP\/1.1 400 /);
  t.is(upstream.received.length, 0);
  t.false(host.lines.some(({ event }) => event === "upstream_ejected"));
});
