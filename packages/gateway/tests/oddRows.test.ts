import { Buffer } from "node:buffer";
import process from "node:process";
import {
  asId,
  asTier,
  type HostId,
  type Incarnation,
} from "@wasabivane/common";
import type { PlacementRequest } from "@wasabivane/admission";
import {
  decodeMessage,
  encodeMessage,
  type GossipMessage,
  type PeerMessage,
  type PeerRecord,
} from "@wasabivane/gateway";
import test from "ava";
import fc from "fast-check";
import { expectSnapshot } from "../src/snapshotValues.ts";
import { buildEntry } from "./helpers/fleet.ts";

const NOW = 10_000;
/** Runs of each property; more by hand. */
const RUNS = Number(process.env["FAST_CHECK_RUNS"] ?? 300);
const SEED = Number(process.env["FAST_CHECK_SEED"] ?? 68);

const ODD_ADDRESSES = ["10.0.0.1:70000", "999.0.0.1:80", "10.0.0.1", "x:1", ""];

function recordOf(host: string, address = "10.0.0.1:80"): PeerRecord {
  return {
    host: asId<HostId>(host),
    incarnation: asId<Incarnation>("1"),
    address: asId(address),
    failureDomain: asId("west"),
    age: 5_000,
    timeSinceHeard: 0,
    isLeaving: false,
    isStoreReachable: true,
    cores: 1,
  };
}

function createWord(changes: Partial<GossipMessage> = {}): PeerMessage {
  const gossip: GossipMessage = {
    sender: recordOf("a"),
    sequence: 1,
    policyVersion: 2,
    policyRevision: 3,
    listRevision: 4,
    confirmationAge: 5,
    leavingUpstreams: [],
    crashes: [],
    completions: [],
    partCrashes: [],
    partCompletions: [],
    partConvictions: [],
    listChanges: [],
    unresponsiveHosts: [],
    peerCount: 1,
    peerRecords: [],
    ...changes,
  };
  return { kind: "word", gossip };
}

function passOn(message: PeerMessage): GossipMessage | undefined {
  const decoded = decodeMessage(encodeMessage(message, NOW), NOW);
  if (decoded.isErr() || decoded.value.kind !== "word") return undefined;
  return decoded.value.gossip;
}

test("an odd upstream that a peer passes on is removed, and the others hold", (t) => {
  // Guards against hosts that end by an entry which only hosts of an earlier
  // release have read.
  const sound = buildEntry("u1", { address: "10.0.0.3:80" });
  const odd = [
    ...ODD_ADDRESSES.map((address) => ({ ...sound, address: asId(address) })),
    { ...sound, slots: 2 ** 32 },
    { ...sound, slots: 0 },
    { ...sound, slots: 1.5 },
    { ...sound, bornAt: 2 ** 53 - 1 },
  ].map((upstream, index) => ({ ...upstream, name: `odd-${index}` }));
  const change = {
    from: 1,
    to: 2,
    upstreams: [sound, ...odd] as typeof sound[],
    removed: ["u2"],
  };
  const read = passOn(createWord({ listChanges: [change] }))!.listChanges[0]!;
  t.deepEqual(read.upstreams, [sound]);
  t.deepEqual(read.removed, ["u2", ...odd.map(({ name }) => name)]);
  const snapshot = expectSnapshot({
    policy: new Uint8Array(),
    policyRevision: 1,
    proofAge: Infinity,
    upstreams: change.upstreams,
    change,
    kept: [],
    evacuated: [],
    listRevision: 1,
  });
  t.deepEqual(snapshot.upstreams, [sound]);
  t.deepEqual(snapshot.change?.upstreams, [sound]);
});

test("a peer with an address that cannot be used is not contacted", (t) => {
  // Guards against hosts that end by a datagram to a port that does not exist.
  for (const address of ODD_ADDRESSES) {
    const sender = recordOf("a", address);
    t.is(passOn(createWord({ sender })), undefined, address);
    const peerRecords = [recordOf("b", address), recordOf("c")];
    t.deepEqual(passOn(createWord({ peerRecords }))!.peerRecords, [
      recordOf("c"),
    ]);
  }
});

test("a peer that says it will be heard from is lost like others", (t) => {
  // Guards against a lost host that is never found to be lost.
  const sender = { ...recordOf("a"), timeSinceHeard: -1e12 };
  t.is(passOn(createWord({ sender }))!.sender.timeSinceHeard, 0);
});

test("a request whose figures a peer cannot send does not hide the others", (t) => {
  // Guards against a host whose requests wait because of one odd header.
  const request: PlacementRequest = {
    request: asId("q1"),
    service: asId("plans"),
    failureDomain: asId("west"),
    route: asId("r"),
    tier: asTier(1),
    arrivedAt: NOW,
    target: 400,
    deadline: NOW + 4_000,
    firstByteTimeout: 2_000,
    promptTokens: 100,
    expectedTokens: 80,
    pauseTarget: 250,
    parts: [{ part: "x", tokens: 100 }],
    excluded: new Set(),
    isContinuation: false,
  };
  const odd = { ...request, parts: [{ part: "x", tokens: NaN }] };
  const message: PeerMessage = {
    kind: "ask",
    update: {
      host: asId("a"),
      incarnation: asId("1"),
      cell: {
        service: asId("plans"),
        failureDomain: undefined,
        index: 0,
        count: 1,
      },
      sequence: 1,
      inFlight: new Map(),
      requests: [odd, request],
      observations: [],
      firstObservation: 0,
      decisionsSeen: 0,
      wantsReply: true,
      withdrawn: [],
      reports: [],
      replyTime: 1,
      backoffs: [],
    },
  };
  const decoded = decodeMessage(encodeMessage(message, NOW), NOW);
  const read = decoded._unsafeUnwrap() as typeof message;
  t.deepEqual(read.update.requests, [request]);
});

const oddValue = fc.oneof(
  fc.jsonValue(),
  fc.double(),
  fc.integer(),
  fc.constantFrom(2 ** 53, 1e300, -1, 0.5, ...ODD_ADDRESSES),
  fc.string({ maxLength: 300 }),
);

/** Returns all leaves of a JSON value, as paths. */
function pathsOf(value: unknown, path: number[] = []): number[][] {
  if (!Array.isArray(value)) return [path];
  return [
    path,
    ...value.flatMap((item, index) => pathsOf(item, [...path, index])),
  ];
}

function replaceAt(value: unknown, path: number[], odd: unknown): unknown {
  if (path.length === 0) return odd;
  const [first, ...rest] = path;
  return (value as unknown[]).map((item, index) =>
    index === first ? replaceAt(item, rest, odd) : item
  );
}

function checkFigures(
  value: unknown,
  isSound: (value: number) => boolean,
): boolean {
  if (typeof value === "number") return isSound(value);
  if (typeof value !== "object" || value === null) return true;
  return Object.values(value).every((item) => checkFigures(item, isSound));
}

test("a message with any odd value is rejected or read with figures in range", (t) => {
  const upstream = buildEntry("u1", { address: "10.0.0.3:80" });
  const bytes = encodeMessage(
    createWord({
      listChanges: [{ from: 1, to: 2, upstreams: [upstream], removed: ["u2"] }],
      peerRecords: [recordOf("b")],
      unresponsiveHosts: [[asId<HostId>("c"), 900]],
    }),
    NOW,
  );
  const sound = JSON.parse(String(bytes));
  const path = fc.constantFrom(...pathsOf(sound));
  fc.assert(
    fc.property(path, oddValue, (at, odd) => {
      const changed = JSON.stringify(replaceAt(sound, at, odd));
      const decoded = decodeMessage(Buffer.from(changed), NOW);
      if (decoded.isErr() || decoded.value.kind !== "word") return;
      const { sender, peerRecords, listChanges } = decoded.value.gossip;
      t.true(checkFigures(decoded.value, (figure) => Math.abs(figure) < 2e16));
      for (const { address } of [sender, ...peerRecords]) {
        t.notThrows(() => new URL(`http://${address}`));
      }
      for (const { upstreams } of listChanges) {
        for (const { address, slots } of upstreams) {
          t.notThrows(() => new URL(`http://${address}`));
          t.true(Number.isInteger(slots) && slots >= 1 && slots <= 65_535);
        }
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("a snapshot with any odd value is rejected or read with figures in range", (t) => {
  const upstream = buildEntry("u1", { address: "10.0.0.3:80" });
  const change = { from: 1, to: 2, upstreams: [upstream], removed: [] };
  const sound: Record<string, unknown> = {
    policy: new Uint8Array(),
    policyRevision: 1,
    proofAge: 2,
    upstreams: [upstream],
    change,
    kept: [{ name: "u1", left: 5 }],
    evacuated: ["west"],
    listRevision: 7,
    listCheck: { count: 1, hash: 2 },
  };
  const field = fc.constantFrom(...Object.keys(sound));
  const part = fc.constantFrom(...Object.keys(upstream));
  const odd = fc.tuple(field, part, oddValue).map(([name, key, value]) =>
    name === "upstreams"
      ? { ...sound, upstreams: [{ ...upstream, [key]: value }] }
      : { ...sound, [name]: value }
  );
  fc.assert(
    fc.property(odd, (fields) => {
      let read;
      try {
        read = expectSnapshot(fields);
      } catch (thrown) {
        t.true(thrown instanceof TypeError);
        return;
      }
      t.true(checkFigures(read, (figure) => Math.abs(figure) < 2e16));
      for (const { address, slots } of read.upstreams) {
        t.notThrows(() => new URL(`http://${address}`));
        t.true(slots >= 1 && slots <= 65_535);
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
