import test from "ava";
import {
  type ReceivedRequest,
  responseHead,
  sendRequest,
  startGateway,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";

const ROUTE = { target: 20_000, timeout: 60_000 } as const;

test("a host that is told to stop twice finishes its requests first", async (t) => {
  // Guards against requests that are cut since a process manager repeats its signal.
  let received: ReceivedRequest | undefined;
  const upstream = await startUpstream((request) => (received = request));
  const host = await startGateway({
    upstreams: [upstream],
    route: ROUTE,
    shutdownGrace: 60_000,
  });
  t.teardown(() => host.close());
  const response = sendRequest(host.url);
  await waitUntil(() => received !== undefined);
  let hasStopped = false;
  const stops = [host.gateway.stop(), host.gateway.stop()]
    .map((stop) => stop.then(() => (hasStopped = true)));
  await new Promise((resolve) => setImmediate(resolve));
  t.false(hasStopped);
  const head = responseHead(received!, { "content-length": 2 });
  received!.socket.write(`${head}ok`);
  t.is((await response).body, "ok");
  await Promise.all(stops);
});
