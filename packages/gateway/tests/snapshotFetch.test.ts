import { Buffer } from "node:buffer";
import { createServer, type ServerResponse } from "node:http";
import { gzipSync } from "node:zlib";
import type { RouteId, Upstream } from "@wasabivane/admission";
import { fetchSnapshot, type StoreSnapshot } from "@wasabivane/gateway";
import {
  type Address,
  asId,
  type Milliseconds,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import test, { type ExecutionContext } from "ava";
import { Packr } from "msgpackr";
import { request } from "undici";
import {
  buildEntry,
  buildPolicy,
  buildRoute,
  startGateway,
} from "./helpers/fleet.ts";

const random = new SeededRandom(1);
const drawByte = (): number => Math.floor(256 * random.float());
const PIECES = 20;
const PIECE_INTERVAL_MS: Milliseconds = 50;
/** Longer than a peer may be silent. */
const SILENCE_MS: Milliseconds = 1_100;
const KNOWN = { policyVersion: 1, listRevision: 1 };

/** Incompressible, so that the response is large. */
const POLICY = Uint8Array.from({ length: 100_000 }, drawByte);
const SNAPSHOT: StoreSnapshot = {
  policy: gzipSync(POLICY),
  policyRevision: 1,
  proofAge: 0,
  upstreams: [],
  kept: [],
  evacuated: [],
  listRevision: 1,
};

/** Starts a peer that responds as the test says and returns its address. */
async function startPeer(
  t: ExecutionContext,
  respond: (response: ServerResponse) => void,
): Promise<Address> {
  const server = createServer((_request, response) => respond(response));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as { port: number };
  return asId(`127.0.0.1:${port}`);
}

/** Sends a body in equal pieces at an interval, like a busy link. */
function sendSlowly(response: ServerResponse, body: Uint8Array): void {
  const size = Math.ceil(body.length / PIECES);
  let sent = 0;
  const interval = setInterval(() => {
    response.write(body.subarray(sent, sent + size));
    sent += size;
    if (sent < body.length) return;
    clearInterval(interval);
    response.end();
  }, PIECE_INTERVAL_MS);
}

test("a large snapshot that arrives slowly is not given up", async (t) => {
  // Guards against hosts that never get a large policy, as each fetch is aborted
  // before its end and begins anew.
  const body = new Packr({ useRecords: false }).pack(SNAPSHOT);
  const address = await startPeer(t, (response) => sendSlowly(response, body));
  const timer = new VirtualTimer();
  const fetched = await fetchSnapshot(address, { ...KNOWN, timer });
  t.deepEqual(fetched._unsafeUnwrap().policy, POLICY);
});

test("a policy of many routes is sent compressed", async (t) => {
  // Guards against full links when all hosts fetch a large policy at once.
  const host = await startGateway({ upstreams: [] });
  t.teardown(() => host.close());
  const routes = Array.from({ length: 1_300 }, (_, index) =>
    buildRoute({
      route: asId<RouteId>(`route-${index}`),
      prefix: `/${drawByte()}${drawByte()}${index}/`,
    }));
  const policy = Buffer.from(
    JSON.stringify(buildPolicy({ version: 2, routes })),
  );
  host.gateway.adoptPolicy(policy, { confirmedAt: 0, revision: 2 });
  const { timer } = host.gateway.context;
  const response = await request(`http://${host.peerAddress}/belief?policy=1`);
  const { byteLength } = await response.body.arrayBuffer();
  t.true(byteLength < 0.2 * policy.length, `${byteLength} of ${policy.length}`);
  const fetched = await fetchSnapshot(host.peerAddress, { ...KNOWN, timer });
  t.deepEqual(Buffer.from(fetched._unsafeUnwrap().policy), policy);
});

test("a snapshot is given up when its peer falls silent", async (t) => {
  // Guards against a fetch that blocks others until the peer is known to be lost.
  const timer = new VirtualTimer();
  const address = await startPeer(t, (response) => {
    response.write("begun", () => timer.advance(SILENCE_MS));
  });
  const fetched = await fetchSnapshot(address, { ...KNOWN, timer });
  t.is(fetched._unsafeUnwrapErr().kind, "unreachable");
});

test("a host that knows of no differences is sent the whole newer list", async (t) => {
  // Guards against hosts of a former version that take a difference for an empty
  // list during an update of the fleet.
  const { gateway, peerAddress, close } = await startGateway({ upstreams: [] });
  t.teardown(close);
  const entry = (name: string): Upstream =>
    buildEntry(name, { address: "127.0.0.1:9" });
  gateway.storeSharing.applyStoreList({
    upstreams: [entry("u1")],
    evacuated: [],
    revision: 10,
  }, 0);
  const change = { upstreams: [entry("u2")], removed: [] };
  gateway.applyListChange({ from: 10, to: 11, ...change });
  const response = await request(
    `http://${peerAddress}/belief?policy=1&list=10`,
  );
  const body = Buffer.from(await response.body.arrayBuffer());
  const sent = new Packr({ useRecords: false }).unpack(body) as StoreSnapshot;
  t.deepEqual(sent.upstreams.map(({ name }) => name), ["u1", "u2"]);
  t.is(sent.change ?? undefined, undefined);
  const { timer } = gateway.context;
  const known = { policyVersion: 1, listRevision: 10, timer };
  const fetched = await fetchSnapshot(peerAddress, known);
  t.is(fetched._unsafeUnwrap().change?.upstreams.length, 1);
});
