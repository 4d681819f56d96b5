import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { MemoryBudget, VirtualTimer } from "@wasabivane/common";
import { GatewayMetrics } from "@wasabivane/gateway";
import test, { type ExecutionContext } from "ava";
import { BodyLeases } from "../src/bodyLeases.ts";
import { ParsingBudget } from "../src/parsingBudget.ts";
import { readBody } from "../src/requestBody.ts";
import {
  responseHead,
  type RunningGateway,
  sendRequest,
  startGateway,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";
import {
  connectCaller,
  postHead,
  type RawCaller,
} from "./helpers/rawCaller.ts";

/** The longest body of the tests' policy. */
const LARGE_BYTES = 100_000;
/** All bodies of a host have 192,000 bytes, so one of them is large at a time. */
const MEMORY_LIMIT = 1_600_000;
/** Longer than a sender may make no progress while memory is short. */
const STALL_MS = 1_200;

async function setUp(t: ExecutionContext): Promise<RunningGateway> {
  const upstream = await startUpstream((received) => {
    if (received.header("held") !== undefined) return;
    const head = responseHead(received, { "content-length": 2 });
    received.socket.write(`${head}ok`);
  });
  const host = await startGateway({
    upstreams: [upstream],
    route: { target: 20_000, timeout: 60_000 },
    memoryLimit: MEMORY_LIMIT,
  });
  t.teardown(() => host.close());
  return host;
}

function usedBytes({ gateway }: RunningGateway): number {
  return gateway.context.memory.bodies.used;
}

/** Sends a large request whose upstream does not respond. */
async function holdLargeBody(
  t: ExecutionContext,
  host: RunningGateway,
): Promise<void> {
  const caller = await connectCaller(host);
  t.teardown(() => caller.socket.destroy());
  const head = postHead(LARGE_BYTES).replace("\r\n\r\n", "\r\nheld: 1\r\n\r\n");
  caller.socket.write(head + "x".repeat(LARGE_BYTES));
  await waitUntil(() => usedBytes(host) === LARGE_BYTES);
}

async function startBody(
  t: ExecutionContext,
  { host, length, sent = 0 }: {
    host: RunningGateway;
    length: number | "chunked";
    sent?: number;
  },
): Promise<RawCaller> {
  const caller = await connectCaller(host);
  t.teardown(() => caller.socket.destroy());
  caller.socket.write(postHead(length));
  if (sent > 0) caller.socket.write(Buffer.alloc(sent));
  return caller;
}

test("a large body that does not fit is refused unread, and small ones are served", async (t) => {
  // Guards against bodies that are each within their limit and together end the
  // process.
  const host = await setUp(t);
  await holdLargeBody(t, host);
  const refused = await startBody(t, { host, length: LARGE_BYTES });
  await waitUntil(() => refused.isClosed());
  t.regex(refused.seen(), /^HTTP\/1.1 503 [^]*retry-after: 0\.[234]/);
  t.regex(refused.seen(), /connection: close[^]*\{"reason":"memory"\}$/);
  const small = await sendRequest(host.url, { method: "POST", body: "short" });
  t.is(small.status, 200);
  t.is(usedBytes(host), LARGE_BYTES);
});

test("a chunked body takes memory as it grows, and is refused where it does not fit", async (t) => {
  // Guards against lengths that are not known and not counted.
  const host = await setUp(t);
  await holdLargeBody(t, host);
  const chunked = await startBody(t, { host, length: "chunked" });
  const chunk = "1000\r\n" + "x".repeat(0x1000) + "\r\n";
  for (let sent = 0; sent < 20; sent++) chunked.socket.write(chunk);
  await waitUntil(() => chunked.isClosed());
  t.regex(chunked.seen(), /^HTTP\/1.1 503 [^]*\{"reason":"memory"\}$/);
  t.is(usedBytes(host), LARGE_BYTES);
});

test("a body whose sender has stalled gives way to one that arrives", async (t) => {
  // Guards against stalled senders that shut out all others until they time out.
  const host = await setUp(t);
  const stalled = await startBody(t, {
    host,
    length: LARGE_BYTES,
    sent: 90_000,
  });
  await waitUntil(() => usedBytes(host) >= LARGE_BYTES);
  await sleep(STALL_MS);
  const body = "x".repeat(LARGE_BYTES);
  const sound = await sendRequest(host.url, { method: "POST", body });
  t.is(sound.status, 200);
  await waitUntil(() => stalled.isClosed());
  t.regex(stalled.seen(), /^HTTP\/1.1 408 /);
});

test("memory of a body is free when its request has ended in any way", async (t) => {
  // Guards against memory that is lost bit by bit.
  const host = await setUp(t);
  const body = "x".repeat(LARGE_BYTES);
  for (let count = 0; count < 3; count++) {
    const served = await sendRequest(host.url, { method: "POST", body });
    t.is(served.status, 200);
    const left = await startBody(t, { host, length: LARGE_BYTES, sent: 9 });
    await waitUntil(() => usedBytes(host) === LARGE_BYTES);
    left.socket.destroy();
    await waitUntil(() => usedBytes(host) === 0);
    const long = await startBody(t, { host, length: "chunked" });
    const chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
    for (let sent = 0; sent < 4; sent++) long.socket.write(chunk);
    await waitUntil(() => long.isClosed());
    t.regex(long.seen(), /^HTTP\/1.1 413 /);
    t.is(usedBytes(host), 0);
  }
});

test("a body in more chunks than its bytes allow is refused", async (t) => {
  // Guards against bytes that cost a thousand times their size in time and memory.
  const host = await setUp(t);
  const fragmented = await startBody(t, { host, length: "chunked" });
  fragmented.socket.write("1\r\nx\r\n".repeat(50_000));
  await waitUntil(() => fragmented.isClosed());
  t.regex(fragmented.seen(), /^HTTP\/1.1 413 [^]*"body-fragmented"/);
  t.is(usedBytes(host), 0);
});

test("a body in some thousand tiny chunks is served", async (t) => {
  // Guards against limits that sound callers meet.
  const host = await setUp(t);
  const caller = await startBody(t, { host, length: "chunked" });
  caller.socket.write("1\r\nx\r\n".repeat(20_000) + "0\r\n\r\n");
  await waitUntil(() => caller.seen() !== "");
  t.regex(caller.seen(), /^HTTP\/1.1 200 /);
});

test("a long body in chunks of four bytes is read whole", async (t) => {
  // Guards against a limit that sound callers meet.
  const timer = new VirtualTimer();
  const request = Object.assign(new PassThrough(), {
    headers: { "transfer-encoding": "chunked" },
    socket: new PassThrough(),
  });
  const body = readBody(request as unknown as IncomingMessage, {
    maximumBytes: 4 * 1_024 * 1_024,
    idleTimeout: 1_000,
    timer,
    leases: new BodyLeases({
      budget: new MemoryBudget(),
      timer,
      metrics: new GatewayMetrics(),
    }),
    parsing: new ParsingBudget(timer),
    watchTime: () => ({ cancel: () => {} }),
  });
  for (let sent = 0; sent < 100_000; sent++) request.write("four");
  request.end();
  t.is((await body)._unsafeUnwrap().bytes.length, 400_000);
});

test("connections that cost much are read on one by one, at a bounded rate", (t) => {
  // Guards against connections that are each within their limit and together use
  // the whole processor.
  const timer = new VirtualTimer();
  const budget = new ParsingBudget(timer);
  let spent = 0;
  const read = (): void => {
    budget.spend(30);
    spent += 30;
    budget.wait(read);
  };
  for (let count = 0; count < 12; count++) read();
  t.true(budget.isOverdrawn);
  timer.advance(60_000);
  t.true(spent > 0.04 * 60_000, `${spent}`);
  t.true(spent < 0.06 * 60_000 + 12 * 30, `${spent}`);
});

test("what was spent on tiny pieces is forgotten within seconds", (t) => {
  // Guards against connections that wait for minutes behind an earlier flood.
  const timer = new VirtualTimer();
  const parsing = new ParsingBudget(timer);
  for (let count = 0; count < 1_000; count++) parsing.spend(60);
  let isCalled = false;
  parsing.wait(() => isCalled = true);
  timer.advance(5_000);
  t.true(isCalled);
});
