import type { Socket } from "node:net";
import { PassThrough } from "node:stream";
import { MemoryBudget, VirtualTimer } from "@wasabivane/common";
import test from "ava";
import { ConnectionLimits } from "../src/connectionLimits.ts";
import { GatewayMetrics } from "../src/gatewayMetrics.ts";
import { startGateway, startUpstream, waitUntil } from "./helpers/fleet.ts";
import { connectCaller, type RawCaller } from "./helpers/rawCaller.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

/** Callers get half of it. */
const CONNECTION_LIMIT = 8;
const CALLERS = CONNECTION_LIMIT / 2;
/** Connections may have 160,000 bytes, so two of them can send a long head. */
const MEMORY_LIMIT = 1_600_000;
const LONG_HEAD_BYTES = 60_000;
const HEAD = "GET /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: q\r\nkey: k\r\n";

async function isServed(caller: RawCaller): Promise<void> {
  caller.socket.write(`${HEAD}\r\n`);
  await waitUntil(() => /^HTTP\/1.1 200 [^]*ok$/.test(caller.seen()));
}

test("the oldest idle connection is closed for a new one, but none with a request", async (t) => {
  // Guards against callers that use up a process's descriptors and memory.
  let isRunning = false;
  const upstream = await startUpstream(() => isRunning = true);
  const host = await startGateway({
    upstreams: [upstream],
    route: { target: 20_000, timeout: 60_000 },
    connectionLimit: CONNECTION_LIMIT,
  });
  t.teardown(() => host.close());
  const callers: RawCaller[] = [];
  for (let count = 0; count < CALLERS; count++) {
    callers.push(await connectCaller(host));
    if (count > 0) continue;
    callers[0]!.socket.write(`${HEAD}\r\n`);
    await waitUntil(() => isRunning);
  }
  t.teardown(() => callers.forEach(({ socket }) => socket.destroy()));
  for (let count = 0; count < 2; count++) {
    callers.push(await connectCaller(host));
  }
  await waitUntil(() => callers[2]!.isClosed());
  t.deepEqual(
    callers.map((caller) => caller.isClosed()),
    [false, true, true, false, false, false],
  );
});

test("a connection is refused while all others have requests", async (t) => {
  // Guards against admitted requests that are cut for new ones.
  let running = 0;
  const upstream = await startUpstream(() => running++);
  const host = await startGateway({
    upstreams: [upstream],
    route: { target: 20_000, timeout: 60_000 },
    connectionLimit: 2,
  });
  t.teardown(() => host.close());
  const busy = await connectCaller(host);
  busy.socket.write(`${HEAD}\r\n`);
  await waitUntil(() => running === 1);
  const late = await connectCaller(host);
  await waitUntil(() => late.isClosed());
  // A header timeout would tell it so.
  t.is(late.seen(), "");
  t.false(busy.isClosed());
  busy.socket.destroy();
});

test("connections with long incomplete heads give way before idle ones", async (t) => {
  // Guards against heads that are each within their limit and together end the
  // process.
  const host = await startGateway({
    upstreams: [await startServing()],
    route: { target: 20_000, timeout: 60_000 },
    memoryLimit: MEMORY_LIMIT,
  });
  t.teardown(() => host.close());
  const idle = await connectCaller(host);
  await isServed(idle);
  const callers: RawCaller[] = [];
  for (let count = 0; count < 4; count++) {
    const caller = await connectCaller(host);
    t.teardown(() => caller.socket.destroy());
    caller.socket.write(`${HEAD}filler: ${"x".repeat(LONG_HEAD_BYTES)}`);
    callers.push(caller);
  }
  await waitUntil(() => callers.some((caller) => caller.isClosed()));
  t.false(idle.isClosed());
  t.notRegex(callers.map((caller) => caller.seen()).join(""), /408/);
  t.true(host.gateway.context.memory.connections.used <= MEMORY_LIMIT / 10);
  idle.socket.destroy();
});

test("a connection that gives way for its own head takes no other with it", (t) => {
  // Guards against idle connections that are closed for one that is gone.
  const timer = new VirtualTimer();
  const limits = new ConnectionLimits({
    timer,
    metrics: new GatewayMetrics(),
    budget: new MemoryBudget({ limit: 3 * 16 * 1_024 + 1 }),
    connectionLimit: CONNECTION_LIMIT,
    isBusy: () => false,
  });
  const sockets = Array.from(
    { length: 3 },
    () => Object.assign(new PassThrough(), { bytesRead: 0 }),
  );
  for (const socket of sockets) limits.add(socket as unknown as Socket);
  sockets[0]!.bytesRead = LONG_HEAD_BYTES;
  timer.advance(200);
  t.deepEqual(sockets.map(({ destroyed }) => destroyed), [true, false, false]);
});
