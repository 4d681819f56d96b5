import test, { type ExecutionContext } from "ava";
import {
  CallersApart,
  type CallerStep,
  requestText,
} from "./helpers/callersApart.ts";
import {
  type RawUpstream,
  type ReceivedRequest,
  responseHead,
  type RunningGateway,
  sendRequest,
  startGateway,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

const CALLERS = 100;
const ITERATIONS = 300;
/** Each iteration of the event loop takes so long. */
const ITERATION_MS = 10;
const LEAST_SERVED = ITERATIONS / 4;

/** Makes each of some iterations of the event loop slow. */
function slowDown(iterations: number): Promise<void> {
  return new Promise((resolve) => {
    let left = iterations;
    const iterate = (): void => {
      const until = performance.now() + ITERATION_MS;
      while (performance.now() < until);
      if (left-- > 0) setImmediate(iterate);
      else resolve();
    };
    iterate();
  });
}

function answer(received: ReceivedRequest): void {
  received.socket.write(
    responseHead(received, { "content-length": 2 }) + "ok",
  );
}

interface Scene {
  readonly host: RunningGateway;
  readonly port: number;
  readonly callers: CallersApart;
}

/** Starts a host, and callers that press in a thread of their own. */
async function startPressing(
  t: ExecutionContext,
  upstream: RawUpstream,
): Promise<Scene> {
  const host = await startGateway({
    upstreams: [upstream],
    slots: 2 * CALLERS,
    route: { target: 20_000, timeout: 60_000 },
  });
  const callers = new CallersApart();
  t.teardown(async () => {
    await callers.close();
    await host.close();
  });
  return { host, callers, port: Number(new URL(host.url).port) };
}

function pressAt(port: number): CallerStep[] {
  const texts = Array.from({ length: CALLERS }, (_, i) => requestText(`p${i}`));
  return [{ kind: "press", port, texts }];
}

test.serial("a host whose accept queue never runs empty serves callers", async (t) => {
  // Guards against a host in overload that closes all connections unread.
  const { callers, port } = await startPressing(t, await startServing());
  await callers.run(pressAt(port));
  await slowDown(ITERATIONS);
  const served = await callers.run([]);
  t.log({ served });
  t.true(served >= LEAST_SERVED);
});

test.serial("a request outlasts a reset of the connections that wait", async (t) => {
  // Guards against a new listener that costs accepted connections.
  const held: ReceivedRequest[] = [];
  const upstream = await startUpstream((received) => {
    if (received.header("id") === "held") held.push(received);
    else answer(received);
  });
  const { host, callers, port } = await startPressing(t, upstream);
  const response = sendRequest(host.url, { headers: { id: "held" } });
  await waitUntil(() => held.length === 1);
  await callers.run(pressAt(port));
  const { metrics } = host.gateway.context;
  while (!(await metrics.text()).includes("accept_queue_drops")) {
    await slowDown(1);
  }
  answer(held[0]!);
  t.is((await response).status, 200);
});
