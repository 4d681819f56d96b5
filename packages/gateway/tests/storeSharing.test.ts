import { Buffer } from "node:buffer";
import {
  asId,
  type FailureDomain,
  type HostId,
  type Incarnation,
  type Milliseconds,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import {
  type Belief,
  type FetchError,
  PeerBook,
  StoreSharing,
} from "@wasabivane/gateway";
import test from "ava";
import { err, ok, type Result } from "neverthrow";
import {
  buildPolicy,
  type RunningGateway,
  startGateway,
} from "./helpers/fleet.ts";

const APPLY_BOUND: Milliseconds = 2_000;
/** Longer than a reading host waits for its own watch. */
const OWN_WATCH_MS: Milliseconds = 400;

function upstreamNamed(name: string): Upstream {
  return {
    upstream: asId<UpstreamId>(name),
    name,
    bornAt: 0,
    service: asId<ServiceId>("plans"),
    address: "127.0.0.1:9",
    failureDomain: asId<FailureDomain>("west"),
    slots: 4,
    coldFor: 0,
    isLeaving: false,
  };
}

function beliefOf(listRevision: number, names: readonly string[]): Belief {
  return {
    policy: Buffer.from(JSON.stringify(buildPolicy())),
    proofAge: 0,
    upstreams: names.map(upstreamNamed),
    kept: [],
    evacuated: [],
    listRevision,
  };
}

/** A host's sharing, the peers that it asked, and the upstreams that it uses. */
interface SharingHost {
  readonly host: RunningGateway;
  readonly sharing: StoreSharing;
  readonly asked: readonly string[];
  readonly names: () => string[];
}

/** A host that knows peers `p0`, `p1`, ... and fetches from them what a test says. */
async function startSharing(
  answers: Readonly<Record<string, Promise<Result<Belief, FetchError>>>>,
  { hasPolicy = true } = {},
): Promise<SharingHost> {
  const host = await startGateway({ upstreams: [], isReading: hasPolicy });
  const { context: parts, upstreamUpdates: upstreams } = host.gateway;
  const book = new PeerBook({
    host: parts.host,
    failureDomain: parts.failureDomain,
    startedAt: 0,
    cores: 1,
    seeds: [],
  });
  const asked: string[] = [];
  for (const peer of Object.keys(answers)) {
    const mention = {
      host: asId<HostId>(peer),
      incarnation: asId<Incarnation>("1"),
      address: peer,
      failureDomain: parts.failureDomain,
      age: 0,
      silence: 0,
      isLeaving: false,
      canRead: true,
      cores: 1,
    };
    book.hear(mention, 1, parts.timer.now());
  }
  const sharing = new StoreSharing({
    parts,
    book,
    upstreams,
    applyBound: APPLY_BOUND,
    adoptPolicy: (bytes, at) => host.gateway.adoptPolicy(bytes, at),
    ask: (address) => {
      asked.push(address);
      return answers[address]!;
    },
  });
  const names = (): string[] =>
    parts.directory.all().map(({ name }) => name).sort();
  return { host, sharing, asked, names };
}

const NEVER = new Promise<Result<Belief, FetchError>>(() => {});

test("a list that is older than what is known brings no upstream back", async (t) => {
  // An upstream leaves and its entry is removed. A fetch from a peer that was behind
  // ends after the newer list came. The upstream of the older list would be used
  // again, with nothing to take it away until the next change: its callers would be
  // sent to one that stops any moment.
  const peer = asId<HostId>("p0");
  const { host, sharing, names } = await startSharing({
    p0: Promise.resolve(ok(beliefOf(9, ["u1", "u2"]))),
  });
  sharing.followReaders();
  host.gateway.upstreamUpdates.applyAll([upstreamNamed("u1")]);
  sharing.advanceListRevision(10);
  await sharing.askPeer(peer);
  t.deepEqual(names(), ["u1"]);
  t.is(sharing.listRevision, 10);
  await host.close();
});

test("a peer that dies in the middle of a fetch keeps nobody from asking another", async (t) => {
  // An upstream leaves. The peer that told of it first is stopped while this host
  // fetches the list from it; the fetch hangs. Another peer tells of the same list a
  // moment later and must be asked at once: until then work goes to what has left.
  const { host, sharing, asked, names } = await startSharing({
    p0: NEVER,
    p1: Promise.resolve(ok(beliefOf(11, ["u1"]))),
  });
  sharing.followReaders();
  host.gateway.upstreamUpdates.applyAll(["u1", "u2"].map(upstreamNamed));
  sharing.advanceListRevision(10);
  const now = host.gateway.context.timer.now();
  sharing.hearOf(asId<HostId>("p0"), { listRevision: 11, now });
  sharing.hearOf(asId<HostId>("p1"), { listRevision: 11, now });
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.deepEqual(asked, ["p0", "p1"]);
  t.deepEqual(names(), ["u1"]);
  await host.close();
});

test("a host whose own watch hangs takes a newer list from a peer", async (t) => {
  // Connections to the store go silent without a reset. A host that reads hears
  // nothing until its watch has run out, seconds later; peers that tell of a newer
  // list in the meantime are believed after the time that a sound watch takes.
  const { host, sharing, asked, names } = await startSharing({
    p0: Promise.resolve(ok(beliefOf(11, ["u1"]))),
  });
  const peer = asId<HostId>("p0");
  sharing.reportStoreRead(true, "test");
  host.gateway.upstreamUpdates.applyAll(["u1", "u2"].map(upstreamNamed));
  sharing.advanceListRevision(10);
  const now = host.gateway.context.timer.now();
  sharing.hearOf(peer, { listRevision: 11, now });
  t.deepEqual(asked, []);
  sharing.hearOf(peer, { listRevision: 11, now: now + OWN_WATCH_MS });
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.deepEqual(names(), ["u1"]);
  await host.close();
});

test("a failed fetch is repeated with the next word", async (t) => {
  const failed = err({ kind: "unreachable", detail: "reset" } as const);
  const { host, sharing, asked } = await startSharing({
    p0: Promise.resolve(failed),
  });
  const peer = asId<HostId>("p0");
  sharing.followReaders();
  sharing.advanceListRevision(10);
  await sharing.askPeer(peer);
  await sharing.askPeer(peer);
  t.deepEqual(asked, ["p0", "p0"]);
  await host.close();
});

test("hosts that start together before the first policy do not all watch the store", async (t) => {
  // Every host has read the list and found no policy, which operators write seconds
  // later. While it is missing each host would watch for it, hundreds at once; three do
  // for all, and the others have it from them.
  const peers = Array.from({ length: 12 }, (_, index) => [`p${index}`, NEVER]);
  const { host, sharing } = await startSharing(Object.fromEntries(peers), {
    hasPolicy: false,
  });
  t.true(sharing.shouldReadStore);
  sharing.advanceListRevision(1);
  host.gateway.confirmPolicy(host.gateway.context.elapsed.now());
  t.false(sharing.shouldReadStore);
  await host.close();
});

test("a host that has just read everything first learns who else is there", async (t) => {
  // It knows no peer yet and would take itself for one of the few that watch.
  const { host, sharing } = await startSharing({});
  const { elapsed } = host.gateway.context;
  sharing.advanceListRevision(1);
  host.gateway.confirmPolicy(elapsed.now());
  t.false(sharing.shouldReadStore);
  await new Promise((resolve) => setTimeout(resolve, 700));
  t.true(sharing.shouldReadStore);
  await host.close();
});
