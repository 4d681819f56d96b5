import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { connect, type Socket } from "node:net";
import { MemoryBudget } from "@wasabivane/common";
import test, { type ExecutionContext } from "ava";
import { CallerResponse } from "../src/callerResponse.ts";
import { UnreadResponses } from "../src/unreadResponses.ts";
import {
  responseHead,
  startGateway,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";

const MIB = 1_024 * 1_024;
/** More than the kernel takes for one connection. */
const BODY = Buffer.alloc(32 * MIB, "x");
const IDLE_TIMEOUT_MS = 500;
const PIPELINED = 10;
const POLL_MS = 20;

interface Callers {
  readonly budget: MemoryBudget;
  /** Why responses were cut. */
  readonly cuts: string[];
  /** Sends a request, and reads nothing. */
  call(): Socket;
}

/** Starts a server whose responses are {@link BODY}. */
async function startCallers(
  t: ExecutionContext,
  { limit = Infinity }: { limit?: number } = {},
): Promise<Callers> {
  const budget = new MemoryBudget({ limit });
  const cuts: string[] = [];
  const unreadResponses = new UnreadResponses({
    budget,
    idleTimeout: () => IDLE_TIMEOUT_MS,
    onCut: (reason) => cuts.push(reason),
  });
  const server = createServer((_request, response) => {
    const options = { shouldClose: () => false, unreadResponses };
    new CallerResponse(response, options).sendComplete(200, {}, BODY);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as { port: number };
  const call = (): Socket => startPausedCaller(t, { port, requests: 1 });
  return { budget, cuts, call };
}

function startPausedCaller(
  t: ExecutionContext,
  { port, requests }: { port: number; requests: number },
): Socket {
  const caller = connect(port, "127.0.0.1");
  caller.on("error", () => {});
  caller.pause();
  for (let count = 0; count < requests; count++) {
    caller.write(
      `POST /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: q${count}\r\nkey: k\r\n` +
        "content-length: 0\r\n\r\n",
    );
  }
  t.teardown(() => caller.destroy());
  return caller;
}

/** Reads all that a caller gets, in steps, and returns its size. */
async function readSlowly(caller: Socket): Promise<number> {
  let bytes = 0;
  caller.on("data", (chunk) => {
    bytes += chunk.length;
    caller.pause();
    setTimeout(() => caller.resume(), 1);
  });
  caller.resume();
  await waitUntil(() => caller.readableEnded || bytes > BODY.length);
  return bytes;
}

test.serial("a caller that reads nothing of its responses is closed after the idle time", async (t) => {
  // Guards against responses that lie in a host's memory without end.
  const upstream = await startUpstream((received) => {
    const head = responseHead(received, { "content-length": MIB });
    received.socket.write(head + "x".repeat(MIB));
  });
  const host = await startGateway({
    upstreams: [upstream],
    idleTimeout: IDLE_TIMEOUT_MS,
    slots: PIPELINED,
  });
  t.teardown(() => host.close());
  const port = Number(new URL(host.url).port);
  const caller = startPausedCaller(t, { port, requests: PIPELINED });
  const { memory, metrics } = host.gateway.context;
  while (!(await metrics.text()).includes("unread_responses_cut_idle")) {
    await sleep(POLL_MS);
  }
  await waitUntil(() => memory.responses.used === 0);
  t.true(await readSlowly(caller) < PIPELINED * MIB);
});

test.serial("a caller that reads slowly gets its whole response", async (t) => {
  // Guards against a limit that ends callers with a slow link.
  const { cuts, call, budget } = await startCallers(t);
  t.true(await readSlowly(call()) > BODY.length);
  t.deepEqual(cuts, []);
  await waitUntil(() => budget.used === 0);
});

test.serial("what callers have not read shares a limit, and the longest unread is cut", async (t) => {
  // Guards against hosts that many callers end that do not read.
  const { cuts, call, budget } = await startCallers(t, { limit: 40 * MIB });
  const first = call();
  await waitUntil(() => budget.used > 0);
  const second = call();
  await waitUntil(() => cuts.length > 0);
  t.deepEqual(cuts, ["memory"]);
  t.true(budget.used <= budget.limit);
  t.true(await readSlowly(second) > BODY.length);
  t.true(await readSlowly(first) < BODY.length);
});

test("small responses that wait for an earlier one share the limit", async (t) => {
  // Guards against pipelined responses that each need no reservation.
  const small = Buffer.alloc(30 * 1_024, "x");
  const budget = new MemoryBudget({ limit: MIB });
  let cuts = 0;
  const unreadResponses = new UnreadResponses({
    budget,
    idleTimeout: () => IDLE_TIMEOUT_MS,
    onCut: () => cuts++,
  });
  let waiting = 0;
  const server = createServer((request, response) => {
    if (request.headers.id === "q0") return;
    const options = { shouldClose: () => false, unreadResponses };
    new CallerResponse(response, options).sendComplete(200, {}, small);
    waiting++;
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as { port: number };
  const callers = 8;
  for (let count = 0; count < callers; count++) {
    startPausedCaller(t, { port, requests: PIPELINED });
  }
  await waitUntil(() => waiting === callers * (PIPELINED - 1) || cuts > 0);
  t.true(cuts > 0);
  t.true(budget.used <= MIB);
});
