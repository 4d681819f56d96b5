import test, { type ExecutionContext } from "ava";
import {
  CallersApart,
  type CallerStep,
  type Departure,
  DEPARTURES,
  requestText,
} from "./helpers/callersApart.ts";
import {
  type GatewayStartOptions,
  type RawUpstream,
  type ReceivedRequest,
  responseHead,
  type RunningGateway,
  sendRequest,
  startGateway,
  startHostPair,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";
import { relayPathOf } from "../src/relayMessage.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

const CALLERS = 6;
/** Requests wait as long as a busy machine takes. */
const PATIENT = { target: 20_000, timeout: 60_000 };

interface Scene {
  readonly callers: CallersApart;
  readonly host: RunningGateway;
  readonly port: number;
}

/** Starts a host, and callers that work while its event loop stands still. */
async function startScene(
  t: ExecutionContext,
  upstreams: readonly RawUpstream[],
  options: Partial<GatewayStartOptions> = {},
): Promise<Scene> {
  const host = await startGateway({ upstreams, route: PATIENT, ...options });
  const callers = new CallersApart();
  t.teardown(async () => {
    await callers.close();
    await host.close();
  });
  return { callers, host, port: Number(new URL(host.url).port) };
}

function createTexts(name: string): string[] {
  return Array.from(
    { length: CALLERS },
    (_, index) => requestText(`${name}${index}`),
  );
}

function sendAndLeave(name: string, departure: Departure): CallerStep[] {
  return [
    { kind: "send", texts: createTexts(name) },
    { kind: "leave", departure },
  ];
}

/** A request that comes afterwards shows that the host has handled the others. */
async function finish(t: ExecutionContext, { host }: Scene): Promise<void> {
  const last = await sendRequest(host.url, { headers: { id: "last" } });
  t.is(last.status, 200);
  await new Promise((resolve) => setTimeout(resolve, 50));
}

function idsOf({ received }: RawUpstream): string[] {
  return received.map((request) => request.header("id")!);
}

for (const departure of DEPARTURES) {
  test.serial(
    `requests in the accept queue whose callers left are not sent (${departure})`,
    async (t) => {
      // Guards against requests that are read, and sent, before the close behind them.
      const upstream = await startServing();
      const scene = await startScene(t, [upstream]);
      scene.callers.runDuringStall([
        { kind: "open", port: scene.port, count: CALLERS },
        ...sendAndLeave("left", departure),
      ]);
      await finish(t, scene);
      t.deepEqual(idsOf(upstream), ["last"]);
    },
  );

  test.serial(
    `requests unread on kept connections whose callers left are not sent (${departure})`,
    async (t) => {
      // Guards against requests that are read, and sent, before the close behind them.
      const upstream = await startServing();
      const scene = await startScene(t, [upstream], { slots: 2 * CALLERS });
      await scene.callers.run([
        { kind: "open", port: scene.port, count: CALLERS },
        { kind: "send", texts: createTexts("first"), awaited: true },
      ]);
      const before = upstream.received.length;
      scene.callers.runDuringStall(sendAndLeave("left", departure));
      await finish(t, scene);
      t.deepEqual(idsOf(upstream).slice(before), ["last"]);
    },
  );
}

/** Starts an upstream that holds each request until it is answered by the test. */
async function startHolding(
  t: ExecutionContext,
): Promise<{ upstream: RawUpstream; held: ReceivedRequest[] }> {
  const held: ReceivedRequest[] = [];
  const upstream = await startUpstream((received) => {
    const isHeld = received.header("id") !== "last";
    if (isHeld) held.push(received);
    else answer(received);
  });
  t.teardown(() => upstream.close());
  return { upstream, held };
}

function answer(received: ReceivedRequest): void {
  received.socket.write(
    responseHead(received, { "content-length": 2 }) + "ok",
  );
}

test.serial("waiting requests whose callers left while the host stood still are not sent", async (t) => {
  // Guards against a slot that is free and a close that are seen in one step.
  const { upstream, held } = await startHolding(t);
  const scene = await startScene(t, [upstream], { slots: 1 });
  const first = sendRequest(scene.host.url, { headers: { id: "first" } });
  await waitUntil(() => held.length === 1);
  await scene.callers.run([
    { kind: "open", port: scene.port, count: CALLERS },
    { kind: "send", texts: createTexts("waiting") },
  ]);
  const { placementClient } = scene.host.gateway.context;
  await waitUntil(() => placementClient.waitingTotal === CALLERS);
  answer(held[0]!);
  scene.callers.runDuringStall([{ kind: "leave", departure: "close" }]);
  t.is((await first).status, 200);
  await finish(t, scene);
  t.deepEqual(idsOf(upstream), ["first", "last"]);
});

test.serial("requests whose callers left before a retry are not sent again", async (t) => {
  // Guards against a failed attempt and a close that are seen in one step.
  const { upstream, held } = await startHolding(t);
  const other = await startHolding(t);
  const scene = await startScene(t, [upstream, other.upstream], {
    slots: 2 * CALLERS,
  });
  await scene.callers.run([
    { kind: "open", port: scene.port, count: CALLERS },
    { kind: "send", texts: createTexts("broken") },
  ]);
  await waitUntil(() => held.length + other.held.length === CALLERS);
  for (const { socket } of [...held, ...other.held]) socket.resetAndDestroy();
  scene.callers.runDuringStall([{ kind: "leave", departure: "close" }]);
  await finish(t, scene);
  t.is(
    upstream.received.length + other.upstream.received.length,
    CALLERS + 1,
  );
});

test.serial("a request whose caller left while a connection was opened is not sent", async (t) => {
  // Guards against a new connection and a close that are seen in one step.
  const upstream = await startServing();
  const scene = await startScene(t, [upstream]);
  const { connections } = scene.host.gateway.context;
  let hasLeft = false;
  connections.setConnector((options, callback) =>
    connections.directConnector(options, (...result) => {
      if (!hasLeft) {
        scene.callers.runDuringStall([{ kind: "leave", departure: "close" }]);
      }
      hasLeft = true;
      callback(...result);
    })
  );
  await scene.callers.run([
    { kind: "open", port: scene.port, count: 1 },
    { kind: "send", texts: [requestText("left")] },
  ]);
  await waitUntil(() => hasLeft);
  await finish(t, scene);
  t.deepEqual(idsOf(upstream), ["last"]);
});

/** Returns the bytes of a WebSocket's binary frame with a mask of zeros. */
function frameOf(text: string): string {
  const head = [0x82, 0x80 | text.length, 0, 0, 0, 0];
  return String.fromCharCode(...head) + text;
}

test.serial("a request in a relay whose peer closed it unread is not passed on", async (t) => {
  // Guards against a relay that reads bytes, and passes them on, before the close
  // behind them.
  const upstream = await startServing();
  const hosts = await startHostPair([upstream]);
  const callers = new CallersApart();
  t.teardown(async () => {
    await callers.close();
    await hosts.close();
  });
  const { gateway, peerAddress } = hosts.reader;
  await waitUntil(() => gateway.context.hostCount() === 2);
  const id = gateway.context.directory.all()[0]!.upstream;
  const upgrade = [
    `GET ${relayPathOf(id)} HTTP/1.1`,
    "host: peer.example",
    "connection: upgrade",
    "upgrade: websocket",
    "sec-websocket-version: 13",
    "sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==",
    "\r\n",
  ].join("\r\n");
  const port = Number(peerAddress.split(":")[1]);
  await callers.run([
    { kind: "open", port, count: 1 },
    { kind: "send", texts: [upgrade], awaited: true },
  ]);
  callers.runDuringStall([
    { kind: "send", texts: [frameOf(requestText("relayed"))] },
    { kind: "leave", departure: "close" },
  ]);
  t.is((await sendRequest(hosts.reader.url)).status, 200);
  t.deepEqual(idsOf(upstream), ["q1"]);
});

test.serial("work for callers that left while the host stood still ends", async (t) => {
  // Guards against upstreams that go on working for nobody.
  const { upstream, held } = await startHolding(t);
  const scene = await startScene(t, [upstream], { slots: 2 * CALLERS });
  await scene.callers.run([
    { kind: "open", port: scene.port, count: CALLERS },
    { kind: "send", texts: createTexts("running") },
  ]);
  await waitUntil(() => held.length === CALLERS);
  scene.callers.runDuringStall([{ kind: "leave", departure: "close" }]);
  await waitUntil(() => held.every(({ socket }) => socket.destroyed));
  t.pass();
});
