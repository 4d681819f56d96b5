import { Buffer } from "node:buffer";
import { createServer, type ServerResponse } from "node:http";
import { isDeepStrictEqual } from "node:util";
import { gzipSync } from "node:zlib";
import type { RouteId, Upstream } from "@wasabivane/admission";
import { fetchSnapshot, type StoreSnapshot } from "@wasabivane/gateway";
import {
  type Address,
  asId,
  MemoryBudget,
  type Milliseconds,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { Packr } from "msgpackr";
import { request } from "undici";
import { snapshotEndpoint } from "../src/operatorEndpoints.ts";
import { sizeOfPackedValues } from "../src/packedValues.ts";
import {
  buildEntry,
  buildPolicy,
  buildRoute,
  startGateway,
} from "./helpers/fleet.ts";

const MIB = 1_024 * 1_024;
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

test("a snapshot that claims far more values than it has is not decoded", async (t) => {
  // Guards against a few bytes that make the process allocate an array of
  // gigabytes.
  const claims = [
    [0xdd, 0x00, 0x50, 0x00, 0x00],
    [0xdf, 0x00, 0x50, 0x00, 0x00],
    [0xc7, 0x50, 0x72],
    [0xdd],
  ];
  for (const claim of claims) {
    t.throws(() => sizeOfPackedValues(Uint8Array.from(claim)));
  }
  const body = Buffer.alloc(1_000_005, 0x90);
  body.set([
    0xdd,
    ...[1_000_000].flatMap((n) => [0, n >> 16, n >> 8 & 255, n & 255]),
  ]);
  const memory = new MemoryBudget({ limit: 10 * MIB });
  const address = await startPeer(t, (response) => response.end(body));
  const timer = new VirtualTimer();
  const fetched = await fetchSnapshot(address, { ...KNOWN, timer, memory });
  t.regex(fetched._unsafeUnwrapErr().detail, /No memory/);
  t.is(memory.used, 0);
});

test("any packed value has the size of its values at least", (t) => {
  const value = fc.anything({ withTypedArray: false, maxDepth: 3 }).filter(
    isPlain,
  );
  const packr = new Packr({ useRecords: false });
  fc.assert(
    fc.property(value, (document) => {
      t.true(sizeOfPackedValues(packr.pack(document)) >= countValues(document));
    }),
    { seed: 71 },
  );
  t.pass();
});

test("a list as large as the fleet is meant to be is fetched", async (t) => {
  const upstreams = Array.from(
    { length: 12_000 },
    (_, index) => buildEntry(`u${index}`, { address: "127.0.0.1:9" }),
  );
  const body = new Packr({ useRecords: false })
    .pack({ ...SNAPSHOT, upstreams });
  const address = await startPeer(t, (response) => response.end(body));
  const timer = new VirtualTimer();
  const memory = new MemoryBudget({ limit: 10 * MIB });
  const fetched = await fetchSnapshot(address, { ...KNOWN, timer, memory });
  t.log(`${body.length} bytes, ${sizeOfPackedValues(body)} for values`);
  t.is(fetched._unsafeUnwrap().upstreams.length, 12_000);
});

test("a snapshot without end is given up early", async (t) => {
  // Guards against hosts that run out of memory by what one peer sends.
  let sent = 0;
  const address = await startPeer(t, (response) => {
    const sendOn = (): void => {
      while (sent < 60 * MIB && !response.destroyed) {
        sent += MIB;
        if (!response.write(Buffer.alloc(MIB))) {
          return void response.once("drain", sendOn);
        }
      }
      response.end();
    };
    sendOn();
  });
  const timer = new VirtualTimer();
  const memory = new MemoryBudget({ limit: 10 * MIB });
  const fetched = await fetchSnapshot(address, { ...KNOWN, timer, memory });
  t.is(fetched._unsafeUnwrapErr().kind, "unreachable");
  t.true(sent < 30 * MIB, `${sent / MIB} MiB`);
  t.is(memory.used, 0);
});

test("a policy that decompresses to far more than a policy has is refused", async (t) => {
  const policy = gzipSync(Buffer.alloc(50 * MIB));
  const body = new Packr({ useRecords: false }).pack({ ...SNAPSHOT, policy });
  const address = await startPeer(t, (response) => response.end(body));
  const timer = new VirtualTimer();
  const memory = new MemoryBudget({ limit: 10 * MIB });
  const fetched = await fetchSnapshot(address, { ...KNOWN, timer, memory });
  t.is(fetched._unsafeUnwrapErr().kind, "unreachable");
});

test("snapshots that peers do not read take a bounded share of memory", async (t) => {
  // Guards against strangers that ask for the list again and again and read nothing.
  const memory = new MemoryBudget({ limit: 2 * MIB });
  const upstreams = Array.from(
    { length: 6_000 },
    (_, index) => buildEntry(`u${index}`, { address: "127.0.0.1:9" }),
  );
  const endpoint = snapshotEndpoint({
    isReady: () => true,
    metricsText: () => Promise.resolve(""),
    createSnapshot: () => ({ ...SNAPSHOT, upstreams }),
  }, memory);
  const responses = await Promise.all(
    Array.from({ length: 6 }, () => endpoint.respond(new URLSearchParams())),
  );
  const bodies = responses.flatMap(({ body }) => body ?? []);
  t.true(bodies.length >= 1 && bodies.length < 6, `${bodies.length}`);
  t.is(
    responses.filter(({ status }) => status === 503).length,
    6 - bodies.length,
  );
  for (const { lease } of responses) lease?.release();
  t.is(memory.used, 0);
});

/** Whether JSON can hold a value. */
function isPlain(value: unknown): boolean {
  return isDeepStrictEqual(value, JSON.parse(JSON.stringify(value) ?? "0"));
}

function countValues(value: unknown): number {
  if (typeof value !== "object" || value === null) return 1;
  return Object.values(value).reduce(
    (sum: number, member) => sum + countValues(member),
    1,
  );
}
