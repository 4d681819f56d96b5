import test from "ava";
import { CallersApart, requestText } from "./helpers/callersApart.ts";
import { startGateway } from "./helpers/fleet.ts";
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

test.serial(
  "a host whose accept queue never runs empty serves callers",
  async (t) => {
    // Guards against a host in overload that closes all connections unread.
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
    const texts = Array.from(
      { length: CALLERS },
      (_, i) => requestText(`p${i}`),
    );
    const port = Number(new URL(host.url).port);
    await callers.run([{ kind: "press", port, texts }]);
    await slowDown(ITERATIONS);
    const served = await callers.run([]);
    t.log({ served });
    t.true(served >= LEAST_SERVED);
  },
);
