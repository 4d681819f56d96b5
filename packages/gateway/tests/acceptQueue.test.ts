import { connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  CallersApart,
  type CallerStep,
  requestText,
} from "./helpers/callersApart.ts";
import { type RunningGateway, startGateway } from "./helpers/fleet.ts";
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

interface Scene {
  readonly host: RunningGateway;
  readonly port: number;
  readonly callers: CallersApart;
}

/** Starts a host, and callers that press in a thread of their own. */
async function startPressing(t: ExecutionContext): Promise<Scene> {
  const host = await startGateway({
    upstreams: [await startServing()],
    slots: CALLERS,
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
  const { callers, port } = await startPressing(t);
  await callers.run(pressAt(port));
  await slowDown(ITERATIONS);
  const served = await callers.run([]);
  t.log({ served });
  t.true(served >= LEAST_SERVED);
});

test.serial("an open connection outlasts a reset of those that wait", async (t) => {
  // Guards against a new listener that costs accepted connections.
  const { host, callers, port } = await startPressing(t);
  const kept = connect(port, "127.0.0.1");
  t.teardown(() => kept.destroy());
  const receive = (): Promise<string> => {
    kept.write(requestText("kept"));
    return new Promise((resolve) =>
      kept.once("data", (data) => resolve(String(data)))
    );
  };
  t.regex(await receive(), /^HTTP\/1\.1 200/);
  await callers.run(pressAt(port));
  await slowDown(ITERATIONS);
  t.regex(await host.gateway.context.metrics.text(), /accept_queue_drops/);
  t.regex(await receive(), /^HTTP\/1\.1 200/);
});
