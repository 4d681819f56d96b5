import { PassThrough } from "node:stream";
import type { Socket } from "node:net";
import { VirtualTimer } from "@wasabivane/common";
import test, { type ExecutionContext } from "ava";
import { GatewayMetrics } from "../src/gatewayMetrics.ts";
import { ParsingBudget } from "../src/parsingBudget.ts";
import { PipelineLimits } from "../src/pipelineLimits.ts";
import {
  type RawUpstream,
  type RunningGateway,
  sendRequest,
  startGateway,
  waitUntil,
} from "./helpers/fleet.ts";
import { connectCaller, type RawCaller } from "./helpers/rawCaller.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

/** Requests that one connection may have without a response. */
const PENDING = 16;
const FLOOD = 5_000;
/** Longer than the header timeout and the interval of its check. */
const SLOW_MS = 4_500;

interface Setup {
  readonly host: RunningGateway;
  readonly upstream: RawUpstream;
  readonly caller: RawCaller;
}

async function setUp(
  t: ExecutionContext,
  { delay = 0 }: { delay?: number } = {},
): Promise<Setup> {
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

function requestTexts(count: number, key = "k"): string {
  const texts = Array.from(
    { length: count },
    (_, index) =>
      "GET /a/1 HTTP/1.1\r\nhost: plans.example\r\n" +
      `id: q${index}\r\nkey: ${key}\r\n\r\n`,
  );
  return texts.join("");
}

function countResponses(caller: RawCaller): number {
  return caller.seen().split("HTTP/1.1 ").length - 1;
}

test("a connection that pipelines without end gets what is due, and is closed", async (t) => {
  // Guards against connections that use a host for themselves.
  const { upstream, caller } = await setUp(t);
  caller.socket.write(requestTexts(FLOOD));
  await waitUntil(() => caller.isClosed());
  t.is(upstream.received.length, PENDING);
  t.is(countResponses(caller), PENDING);
  t.regex(caller.seen(), /ok$/);
});

test("responses are delivered though the head behind them stays incomplete", async (t) => {
  // Guards against a header timeout that ends a connection this host does not
  // read from.
  const { caller } = await setUp(t, { delay: SLOW_MS });
  caller.socket.write(requestTexts(FLOOD));
  await waitUntil(() => caller.isClosed());
  t.is(countResponses(caller), PENDING);
  t.notRegex(caller.seen(), /408/);
});

test("refusals are delivered to a connection that pipelines without end", async (t) => {
  // Guards against a reset that destroys responses before they are read.
  const { caller } = await setUp(t);
  caller.socket.write(requestTexts(FLOOD, "stolen"));
  await waitUntil(() => caller.isClosed());
  t.is(countResponses(caller), PENDING);
  t.regex(caller.seen(), /"no-account"\}$/);
});

test("as many pipelined requests as are allowed are served again and again", async (t) => {
  // Guards against a bound that counts answered requests.
  const { caller } = await setUp(t);
  for (let round = 1; round <= 4; round++) {
    caller.socket.write(requestTexts(PENDING));
    await waitUntil(() => countResponses(caller) === round * PENDING);
  }
  t.false(caller.isClosed());
});

test("others are served while connections pipeline without end", async (t) => {
  // Guards against requests that wait behind what is discarded.
  const { host } = await setUp(t);
  for (let count = 0; count < 8; count++) {
    const caller = await connectCaller(host);
    t.teardown(() => caller.socket.destroy());
    caller.socket.write(requestTexts(FLOOD, "stolen"));
  }
  t.is((await sendRequest(host.url)).status, 200);
});

test("a connection is read on slowly while its requests are refused", (t) => {
  // Guards against callers that repeat refused requests as fast as they can.
  const timer = new VirtualTimer();
  const limits = new PipelineLimits({
    timer,
    metrics: new GatewayMetrics(),
    parsing: new ParsingBudget(timer),
  });
  const socket = new PassThrough() as unknown as Socket;
  socket.resume();
  for (let count = 0; count < 32; count++) limits.recordRefusal(socket);
  t.false(socket.isPaused());
  limits.recordRefusal(socket);
  t.true(socket.isPaused());
  timer.advance(100);
  t.false(socket.isPaused());
  limits.recordRefusal(socket);
  t.false(socket.isPaused());
});
