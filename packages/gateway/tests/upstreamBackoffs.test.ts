import test from "ava";
import {
  type RunningGateway,
  sendRequest,
  startGateway,
  waitUntil,
} from "./helpers/fleet.ts";
import { holdFirstCall } from "./helpers/heldCalls.ts";
import { startRejecting, startServing } from "./helpers/simpleUpstreams.ts";

const REQUESTS = 8;
/** Long enough for requests that are sent together to fill the slots. */
const SERVICE_MS = 30;
const LONG_BACKOFF_MS = 60_000;
const BUSY = { "retry-after": String(LONG_BACKOFF_MS) };

function sendOne(
  { url }: RunningGateway,
  id: string,
): ReturnType<typeof sendRequest> {
  return sendRequest(url, { headers: { id, "time-left": "2000" } });
}

test("a host sends nothing to an upstream for as long as it asked for", async (t) => {
  // Guards against requests that an overloaded upstream has to reject.
  const busy = await startRejecting(BUSY);
  const other = await startServing({}, { delay: SERVICE_MS });
  const host = await startGateway({ upstreams: [busy, other], slots: 2 });
  t.teardown(() => host.close());
  while (busy.received.length === 0) await sendOne(host, "first");
  const responses = await Promise.all(
    Array.from({ length: REQUESTS }, (_, index) => sendOne(host, `q${index}`)),
  );
  t.true(responses.every(({ status }) => status === 200));
  t.is(busy.received.length, 1);
});

test("requests are refused as not run while all upstreams ask for a backoff", async (t) => {
  // Guards against the last upstream that gets what the others do not want, and
  // against grants that are turned down again and again.
  const upstreams = [
    await startRejecting(BUSY),
    await startRejecting(BUSY),
  ];
  const host = await startGateway({ upstreams });
  t.teardown(() => host.close());
  for (let count = 0; count < REQUESTS; count++) {
    const { status, headers } = await sendOne(host, `q${count}`);
    t.is(status, 503);
    t.true(Number(headers["retry-after"]) > 0);
  }
  t.true(upstreams.every(({ received }) => received.length <= 1));
});

test("a request is sent elsewhere if its upstream asks for a backoff while it is connecting", async (t) => {
  // Guards against a request that was on its way to a connection.
  const upstreams = [await startServing(), await startServing()];
  const host = await startGateway({ upstreams });
  t.teardown(() => host.close());
  const held = holdFirstCall(host);
  const response = sendOne(host, "q");
  await waitUntil(() => held.address !== undefined);
  const { directory, placementClient, timer } = host.gateway.context;
  const asking = directory.all().find(({ address }) =>
    address === held.address
  );
  placementClient.recordBackoff(asking!, LONG_BACKOFF_MS, timer.now());
  held.release();
  t.is((await response).status, 200);
  t.is(
    upstreams.find(({ address }) => address === held.address)?.received.length,
    0,
  );
});
