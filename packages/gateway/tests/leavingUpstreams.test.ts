import { asId, type UpstreamId } from "@wasabivane/common";
import test from "ava";
import {
  type RawUpstream,
  responseHead,
  type RunningGateway,
  sendRequest,
  startGateway,
  startHostPair,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";
import { holdFirstCall } from "./helpers/heldCalls.ts";

const LEAVING = asId<UpstreamId>("u0");
const REQUESTS = 8;
const MANY_REQUESTS = 18;

function startResponding(
  headers: Record<string, string>,
): Promise<RawUpstream> {
  return startUpstream((received) => {
    const head = responseHead(received, { "content-length": 2, ...headers });
    received.socket.write(`${head}ok`);
  });
}

/** Starts an upstream that says it leaves when it turns requests away. */
function startRejecting(): Promise<RawUpstream> {
  return startUpstream((received) => {
    const id = received.header("id");
    received.socket.write(
      `HTTP/1.1 503 Service Unavailable\r\nid: ${id}\r\nnot-run: 1\r\n` +
        "leaving: 1\r\ncontent-length: 0\r\n\r\n",
    );
  });
}

async function sendInTurn(
  { url }: RunningGateway,
  count: number,
): Promise<(number | undefined)[]> {
  const statuses: (number | undefined)[] = [];
  for (let index = 0; index < count; index++) {
    const headers = { id: `q${index}`, "time-left": "500" };
    statuses.push((await sendRequest(url, { headers })).status);
  }
  return statuses;
}

function isUsed({ gateway }: RunningGateway): boolean {
  return gateway.context.directory.get(LEAVING) !== undefined;
}

test("an upstream that says it leaves gets no further requests while the store lists it", async (t) => {
  // Guards against a statement of leaving that only the store can make.
  for (
    const start of [() => startResponding({ leaving: "1" }), startRejecting]
  ) {
    const leaving = await start();
    const other = await startResponding({});
    const host = await startGateway({ upstreams: [leaving, other] });
    t.teardown(() => host.close());
    const statuses = await sendInTurn(host, REQUESTS);
    t.true(statuses.every((status) => status === 200));
    t.true(leaving.received.length <= 1, `${leaving.received.length}`);
    const said = host.lines.filter(({ event }) => event === "upstream_leaving");
    t.true(said.length <= 1);
  }
});

test("requests are refused as not run once the last upstream says it leaves", async (t) => {
  // Guards against a leaving upstream that serves as the last resort.
  const leaving = await startResponding({ leaving: "1" });
  const host = await startGateway({ upstreams: [leaving] });
  t.teardown(() => host.close());
  t.deepEqual(await sendInTurn(host, 2), [200, 503]);
  t.is(leaving.received.length, 1);
});

test("each of many upstreams that leave at once gets one request at most", async (t) => {
  // Guards against statements that get lost among others of the same moment.
  const leaving = await Promise.all(
    Array.from({ length: 5 }, () => startResponding({ leaving: "1" })),
  );
  const other = await startResponding({});
  const host = await startGateway({ upstreams: [...leaving, other] });
  t.teardown(() => host.close());
  const statuses = await sendInTurn(host, MANY_REQUESTS);
  t.true(statuses.every((status) => status === 200));
  t.true(leaving.every(({ received }) => received.length <= 1));
});
test("hosts inform each other that an upstream says it leaves", async (t) => {
  // Guards against one request from each host to an upstream that is leaving.
  const leaving = await startResponding({ leaving: "1" });
  const { reader, follower, close } = await startHostPair([leaving]);
  t.teardown(close);
  t.is((await sendRequest(reader.url)).status, 200);
  await waitUntil(() => !isUsed(follower));
  t.false(isUsed(reader));
});

test("a response to another request says nothing about the upstream it came from", async (t) => {
  // Guards against a late response, or that of another upstream, which would
  // take a healthy upstream out of use on all hosts.
  const confused = await startUpstream((received) => {
    const id = `${received.header("id")}-before`;
    const headers = { id, leaving: "1", "content-length": 2 };
    received.socket.write(`${responseHead(received, headers)}ok`);
  });
  const host = await startGateway({ upstreams: [confused] });
  t.teardown(() => host.close());
  t.is((await sendRequest(host.url)).status, 502);
  t.true(isUsed(host));
  t.is(host.lines.find(({ event }) => event === "upstream_leaving"), undefined);
});

test("a request is sent elsewhere if its upstream leaves while it is connecting", async (t) => {
  // Guards against decisions that are older than the word of the upstream.
  for (const repeatability of ["idempotent", "at-most-once"] as const) {
    const upstreams = [await startResponding({}), await startResponding({})];
    const host = await startGateway({ upstreams, route: { repeatability } });
    t.teardown(() => host.close());
    const held = holdFirstCall(host);
    const response = sendRequest(host.url);
    await waitUntil(() => held.address !== undefined);
    const index = upstreams.findIndex(({ address }) =>
      address === held.address
    );
    const leaving = asId<UpstreamId>(`u${index}`);
    host.gateway.upstreamUpdates.reportLeaving(leaving, "peer");
    held.release();
    t.is((await response).status, 200);
    t.is(upstreams[index]!.received.length, 0);
  }
});
