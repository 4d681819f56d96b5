import { Buffer } from "node:buffer";
import {
  type Address,
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
  type FetchError,
  joinRevision,
  PeerDirectory,
  StoreSharing,
  type StoreSnapshot,
  type UpstreamList,
} from "@wasabivane/gateway";
import test from "ava";
import { err, ok, type Result } from "neverthrow";
import {
  buildPolicy,
  type RunningGateway,
  startGateway,
  waitUntil,
} from "./helpers/fleet.ts";

const APPLY_BOUND: Milliseconds = 2_000;
/** Longer than a reader waits for its own watch. */
const OWN_WATCH_MS: Milliseconds = 400;

function createUpstream(name: string): Upstream {
  return {
    upstream: asId<UpstreamId>(name),
    name,
    bornAt: 0,
    service: asId<ServiceId>("plans"),
    address: asId("127.0.0.1:9"),
    failureDomain: asId<FailureDomain>("west"),
    slots: 4,
    coldFor: 0,
    softwareVersion: asId("1"),
    isLeaving: false,
  };
}

function createSnapshot(
  listRevision: number,
  names: readonly string[],
): StoreSnapshot {
  return {
    policy: Buffer.from(JSON.stringify(buildPolicy())),
    policyRevision: listRevision,
    proofAge: 0,
    upstreams: names.map(createUpstream),
    kept: [],
    evacuated: [],
    listRevision,
  };
}

type Answer = Promise<Result<StoreSnapshot, FetchError>>;

/** A host, the peers that it fetched from, and the names of its upstreams. */
interface SharingHost {
  readonly host: RunningGateway;
  readonly sharing: StoreSharing;
  readonly fetchedFrom: readonly string[];
  /** List revisions that it fetched with. */
  readonly fetchedWith: readonly number[];
  readonly names: () => string[];
}

/**
 * Starts a host whose peers are the keys of `answers` and reply to fetches with
 * its values.
 */
async function startSharing(
  answers: Readonly<Record<string, Answer | ((known: number) => Answer)>>,
  { hasPolicy = true } = {},
): Promise<SharingHost> {
  const host = await startGateway({ upstreams: [], isReading: hasPolicy });
  const { context, upstreamUpdates } = host.gateway;
  const peers = new PeerDirectory({
    host: context.host,
    failureDomain: context.failureDomain,
    startedAt: 0,
    cores: 1,
    seeds: [],
  });
  const fetchedFrom: string[] = [];
  const fetchedWith: number[] = [];
  for (const peer of Object.keys(answers)) {
    const record = {
      host: asId<HostId>(peer),
      incarnation: asId<Incarnation>("1"),
      address: asId<Address>(peer),
      failureDomain: context.failureDomain,
      age: 0,
      timeSinceHeard: 0,
      isLeaving: false,
      isStoreReachable: true,
      cores: 1,
    };
    peers.recordMessage(record, 1, context.timer.now());
  }
  const sharing = new StoreSharing({
    context,
    peers,
    upstreamUpdates,
    applyBound: APPLY_BOUND,
    adoptPolicy: (bytes, proof) => host.gateway.adoptPolicy(bytes, proof),
    requestSnapshot: (address, { listRevision }) => {
      fetchedFrom.push(address);
      fetchedWith.push(listRevision);
      const answer = answers[address]!;
      return typeof answer === "function" ? answer(listRevision) : answer;
    },
  });
  const names = (): string[] =>
    context.directory.all().map(({ name }) => name).sort();
  return { host, sharing, fetchedFrom, fetchedWith, names };
}

const NEVER: Answer = new Promise(() => {});

test("an outdated list from a peer does not bring an upstream back", async (t) => {
  // Guards against requests to an upstream that has left.
  const peer = asId<HostId>("p0");
  const { host, sharing, names } = await startSharing({
    p0: Promise.resolve(ok(createSnapshot(9, ["u1", "u2"]))),
  });
  sharing.followReaders();
  host.gateway.upstreamUpdates.applyAll([createUpstream("u1")]);
  sharing.advanceListRevision(10);
  await sharing.fetchFromPeer(peer);
  t.deepEqual(names(), ["u1"]);
  t.is(sharing.listRevision, 10);
  await host.close();
});

test("a fetch that hangs does not block a fetch from another peer", async (t) => {
  // Guards against an outdated list while the first peer is down.
  const { host, sharing, fetchedFrom, names } = await startSharing({
    p0: NEVER,
    p1: Promise.resolve(ok(createSnapshot(11, ["u1"]))),
  });
  sharing.followReaders();
  host.gateway.upstreamUpdates.applyAll(["u1", "u2"].map(createUpstream));
  sharing.advanceListRevision(10);
  const now = host.gateway.context.timer.now();
  sharing.receiveListRevision(asId<HostId>("p0"), { listRevision: 11, now });
  sharing.receiveListRevision(asId<HostId>("p1"), { listRevision: 11, now });
  t.deepEqual(fetchedFrom, ["p0"]);
  await waitUntil(() => fetchedFrom.length === 2);
  await waitUntil(() => sharing.listRevision === 11);
  t.deepEqual(fetchedFrom, ["p0", "p1"]);
  t.deepEqual(names(), ["u1"]);
  await host.close();
});

test("a reader whose own watch hangs fetches a newer list from a peer", async (t) => {
  // Guards against an outdated list while the connection to the store is
  // silent.
  const { host, sharing, fetchedFrom, names } = await startSharing({
    p0: Promise.resolve(ok(createSnapshot(11, ["u1"]))),
  });
  const peer = asId<HostId>("p0");
  sharing.reportStoreRead(true, "test");
  host.gateway.upstreamUpdates.applyAll(["u1", "u2"].map(createUpstream));
  sharing.advanceListRevision(10);
  const now = host.gateway.context.timer.now();
  sharing.receiveListRevision(peer, { listRevision: 11, now });
  t.deepEqual(fetchedFrom, []);
  sharing.receiveListRevision(peer, {
    listRevision: 11,
    now: now + OWN_WATCH_MS,
  });
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.deepEqual(names(), ["u1"]);
  await host.close();
});

test("a peer is asked again after a failed fetch", async (t) => {
  const failed = err({ kind: "unreachable", detail: "reset" } as const);
  const { host, sharing, fetchedFrom } = await startSharing({
    p0: Promise.resolve(failed),
  });
  const peer = asId<HostId>("p0");
  sharing.followReaders();
  sharing.advanceListRevision(10);
  await sharing.fetchFromPeer(peer);
  await sharing.fetchFromPeer(peer);
  t.deepEqual(fetchedFrom, ["p0", "p0"]);
  await host.close();
});

test("hosts that start before the first policy do not all watch the store", async (t) => {
  // Guards against a whole fleet that watches the store for the first policy.
  const peers = Array.from({ length: 12 }, (_, index) => [`p${index}`, NEVER]);
  const { host, sharing } = await startSharing(Object.fromEntries(peers), {
    hasPolicy: false,
  });
  t.true(sharing.shouldReadStore);
  sharing.advanceListRevision(1);
  const confirmedAt = host.gateway.context.elapsed.now();
  host.gateway.confirmPolicy({ confirmedAt, revision: 1 });
  t.false(sharing.shouldReadStore);
  await host.close();
});

test("a host that has just started discovers its peers before it watches the store", async (t) => {
  // Without known peers, every host would take itself for a reader.
  const { host, sharing } = await startSharing({});
  const { elapsed } = host.gateway.context;
  sharing.advanceListRevision(1);
  host.gateway.confirmPolicy({ confirmedAt: elapsed.now(), revision: 1 });
  t.false(sharing.shouldReadStore);
  await new Promise((resolve) => setTimeout(resolve, 700));
  t.true(sharing.shouldReadStore);
  await host.close();
});

test("a list of a former era that arrives late is ignored", async (t) => {
  // Guards against the list of before a restore, which brings back what has left.
  const { host, sharing, names } = await startSharing({});
  const former = joinRevision({ era: 1, revision: 900 });
  const restored = joinRevision({ era: 2, revision: 40 });
  const listOf = (revision: number, name: string): UpstreamList => ({
    upstreams: [createUpstream(name)],
    evacuated: [],
    revision,
  });
  sharing.applyStoreList(listOf(former, "u1"), 0);
  sharing.applyStoreList(listOf(restored, "u2"), former);
  t.is(sharing.listRevision, restored);
  sharing.applyStoreList(listOf(former + 1, "u3"), former);
  t.is(sharing.listRevision, restored);
  t.false(names().includes("u3"));
  await host.close();
});

test("an upstream that a peer's list of a new era lacks stays out of use when the store lists it", async (t) => {
  // Guards against a removed upstream that returns with the second list.
  const { host, sharing, names } = await startSharing({});
  const former = joinRevision({ era: 1, revision: 900 });
  const restored = joinRevision({ era: 2, revision: 40 });
  const list = (revision: number, listed: readonly string[]): UpstreamList => ({
    upstreams: listed.map(createUpstream),
    evacuated: [],
    revision,
  });
  sharing.applyStoreList(list(former, ["u1", "u2"]), 0);
  sharing.applyStoreList(list(former + 1, ["u1"]), former);
  sharing.applyStoreList(list(restored, ["u1"]), former + 1);
  sharing.applyStoreList(list(restored + 1, ["u1", "u2"]), restored);
  t.deepEqual(names(), ["u1"]);
  await host.close();
});

/** A peer's answer that has only what changed since a revision. */
function createDifference(
  from: number,
  { to, changed = [], removed = [], kept = [] }: {
    to: number;
    changed?: readonly string[];
    removed?: readonly string[];
    kept?: readonly string[];
  },
): StoreSnapshot {
  const upstreams = [...changed, ...kept].map(createUpstream);
  return {
    ...createSnapshot(to, []),
    change: { from, to, upstreams, removed, evacuated: [] },
    kept: kept.map((name) => ({ name, left: 60_000 })),
  };
}

async function startWithList(
  names: readonly string[],
  answers: Parameters<typeof startSharing>[0],
): Promise<SharingHost> {
  const started = await startSharing(answers);
  started.sharing.followReaders();
  started.sharing.applyStoreList({
    upstreams: names.map(createUpstream),
    evacuated: [],
    revision: 10,
  }, 0);
  return started;
}

const PEER = asId<HostId>("p0");

test("a difference adds and removes upstreams, and is passed on", async (t) => {
  const { host, sharing, names } = await startWithList(["u1", "u2"], {
    p0: (known) =>
      Promise.resolve(ok(createDifference(known, {
        to: 14,
        changed: ["u3"],
        removed: ["u1"],
      }))),
  });
  await sharing.fetchFromPeer(PEER);
  t.deepEqual(names(), ["u2", "u3"]);
  t.is(sharing.listRevision, 14);
  const { change, upstreams } = sharing.createSnapshot({
    policyVersion: 1,
    listRevision: 10,
  });
  t.deepEqual(change?.upstreams.map(({ name }) => name), ["u3"]);
  t.deepEqual(change?.removed, ["u1"]);
  t.is(upstreams.length, 0);
  await host.close();
});

test("a difference that does not follow on the list is replaced by the whole list", async (t) => {
  // Guards against a list that lacks the changes in between for good.
  const { host, sharing, fetchedWith, names } = await startWithList(["u1"], {
    p0: (known) =>
      Promise.resolve(ok(
        known === 0
          ? createSnapshot(14, ["u2", "u3"])
          : createDifference(12, { to: 14, changed: ["u3"] }),
      )),
  });
  await sharing.fetchFromPeer(PEER);
  t.deepEqual(fetchedWith, [10, 0]);
  t.deepEqual(names(), ["u2", "u3"]);
  t.is(sharing.listRevision, 14);
  await host.close();
});

test("a difference that arrives after newer changes is ignored", async (t) => {
  // Guards against an upstream that has left and comes back.
  const { host, sharing, names } = await startWithList(["u1"], {
    p0: () => {
      host.gateway.upstreamUpdates.remove("u1");
      sharing.recordChange({
        from: 10,
        to: 15,
        upstreams: [],
        removed: ["u1"],
      });
      const late = createDifference(10, { to: 14, changed: ["u1"] });
      return Promise.resolve(ok(late));
    },
  });
  await sharing.fetchFromPeer(PEER);
  t.deepEqual(names(), []);
  t.is(sharing.listRevision, 15);
  await host.close();
});

test("an upstream that lapsed is passed on as lapsed in a difference", async (t) => {
  // Guards against a lapsed upstream that followers drop at once or keep for good.
  const { host, sharing } = await startWithList(["u1", "u2"], {
    p0: (known) =>
      Promise.resolve(ok(createDifference(known, { to: 14, kept: ["u2"] }))),
  });
  await sharing.fetchFromPeer(PEER);
  const { directory } = host.gateway.context;
  t.deepEqual(directory.lapsed(0).map(({ name }) => name), ["u2"]);
  const passedOn = sharing.createSnapshot({
    policyVersion: 1,
    listRevision: 10,
  });
  t.deepEqual(passedOn.kept.map(({ name }) => name), ["u2"]);
  await host.close();
});

test("a host that has fetched the whole list sends differences to others", async (t) => {
  // Guards against whole lists that each fetch one from the other.
  const { host, sharing } = await startWithList(["u1", "u2"], {
    p0: Promise.resolve(ok(createSnapshot(14, ["u2", "u3"]))),
  });
  await sharing.fetchFromPeer(PEER);
  const { change } = sharing.createSnapshot({
    policyVersion: 1,
    listRevision: 10,
  });
  t.deepEqual(change?.upstreams.map(({ name }) => name), ["u3"]);
  t.deepEqual(change?.removed, ["u1"]);
  await host.close();
});

test("a host whose revision the store has refuted sends whole lists to peers with that one", async (t) => {
  // Guards against differences from a revision that the store never had.
  const { host, sharing } = await startWithList(["u1"], {});
  sharing.applyStoreList({ upstreams: [], evacuated: [], revision: 8 }, 10);
  const newer = { upstreams: [createUpstream("u4")], removed: [] };
  sharing.recordChange({ from: 8, to: 12, ...newer });
  const known = { policyVersion: 1, listRevision: 10 };
  t.is(sharing.createSnapshot(known).change, undefined);
  sharing.recordChange({ from: 12, to: 13, ...newer });
  const later = { policyVersion: 1, listRevision: 12 };
  t.not(sharing.createSnapshot(later).change, undefined);
  await host.close();
});

test("a host that has just started does not fetch from peers what its own read brings", async (t) => {
  // Guards against each host of a start that transfers the whole list twice.
  const { host, sharing, fetchedFrom } = await startSharing({
    p0: Promise.resolve(ok(createSnapshot(11, ["u1"]))),
  });
  const now = host.gateway.context.timer.now();
  const announce = (): void => {
    const versions = { policyVersion: 2, listRevision: 11 };
    sharing.receivePolicyVersion(PEER, { ...versions, now });
    sharing.receiveListRevision(PEER, { listRevision: 11, now });
    sharing.tick(now);
  };
  announce();
  t.deepEqual(fetchedFrom, []);
  sharing.reportStoreRead(false, "refused");
  announce();
  t.deepEqual(fetchedFrom, ["p0"]);
  await host.close();
});

test("a policy that comes with a difference that does not follow is adopted", async (t) => {
  // Guards against a policy that waits for a second fetch, which may fail.
  const failed = err({ kind: "unreachable", detail: "reset" } as const);
  const { host, sharing, fetchedWith } = await startWithList(["u1"], {
    p0: (known) =>
      Promise.resolve(
        known === 0 ? failed : ok({
          ...createDifference(12, { to: 14 }),
          policy: Buffer.from(JSON.stringify(buildPolicy({ version: 2 }))),
        }),
      ),
  });
  await sharing.fetchFromPeer(PEER);
  t.deepEqual(fetchedWith, [10, 0]);
  t.is(host.gateway.context.policies.version, 2);
  t.is(sharing.listRevision, 10);
  await host.close();
});

/**
 * Starts a follower with a list at revision 10, and a peer with another one that
 * applies a change after it.
 */
async function startWithPeer(
  ownNames: readonly string[],
  peerNames: readonly string[],
): Promise<{
  follower: SharingHost;
  peerHost: RunningGateway;
  apply: (change: PeerChange) => void;
}> {
  const { host, sharing } = await startWithList(peerNames, {});
  const started = await startWithList(ownNames, {
    p0: (listRevision) =>
      Promise.resolve(
        ok(sharing.createSnapshot({ policyVersion: 1, listRevision })),
      ),
  });
  const apply = ({ keepUntil, ...changes }: PeerChange): void => {
    const from = sharing.listRevision;
    const change = {
      upstreams: [],
      removed: [],
      ...changes,
      from,
      to: from + 1,
    };
    host.gateway.upstreamUpdates.applyChange(change, keepUntil);
    sharing.recordChange(change);
  };
  const close = async (): Promise<void> => {
    await host.close();
    await started.host.close();
  };
  const follower = { ...started, host: { ...started.host, close } };
  return { follower, peerHost: host, apply };
}

interface PeerChange {
  readonly upstreams?: readonly Upstream[];
  readonly removed?: readonly string[];
  readonly keepUntil?: Milliseconds;
}

test("a difference from another list of the same revision is replaced by the whole list", async (t) => {
  // Guards against an upstream that has left and is used for good, where a store
  // that tells no era gives out revisions again.
  const { follower, apply } = await startWithPeer(["u1", "u2"], ["u1"]);
  const { host, sharing, fetchedWith, names } = follower;
  t.teardown(() => host.close());
  apply({ upstreams: [createUpstream("u3")] });
  await sharing.fetchFromPeer(PEER);
  t.deepEqual(names(), ["u1", "u3"]);
  t.deepEqual(fetchedWith, [10, 0]);
  t.is(sharing.listRevision, 11);
  const text = await host.gateway.context.metrics.text();
  t.regex(text, /name="list_differences_refuted"\} 1\n/);
  apply({ upstreams: [createUpstream("u4")] });
  await sharing.fetchFromPeer(PEER);
  t.deepEqual(fetchedWith, [10, 0, 11]);
});

test("differences from the same list are not refuted", async (t) => {
  // Guards against whole lists where upstreams leave, lapse or start again.
  const listed = ["u1", "u2", "u3", "u4"];
  const { follower, apply } = await startWithPeer(listed, listed);
  const { host, sharing, fetchedWith, names } = follower;
  t.teardown(() => host.close());
  const { timer } = host.gateway.context;
  const steps: PeerChange[] = [
    { removed: ["u1"] },
    { upstreams: [{ ...createUpstream("u2"), isLeaving: true }] },
    { removed: ["u3"], keepUntil: timer.now() + 60_000 },
    { upstreams: [createUpstream("u3")] },
    {
      upstreams: [{
        ...createUpstream("u4"),
        upstream: asId<UpstreamId>("u4-2"),
        bornAt: 1,
      }],
      removed: ["u2"],
    },
  ];
  for (const step of steps) {
    apply(step);
    await sharing.fetchFromPeer(PEER);
  }
  t.deepEqual(fetchedWith, [10, 11, 12, 13, 14]);
  t.deepEqual(names(), ["u3", "u4"]);
});

test("differences after a whole list that lacks an upstream of the store are not refuted", async (t) => {
  // Guards against a whole list at each change while a peer does not use an
  // upstream that the store lists.
  const { follower, peerHost, apply } = await startWithPeer(
    ["u1", "u9"],
    ["u1", "u2"],
  );
  const { host, sharing, fetchedWith, names } = follower;
  t.teardown(() => host.close());
  peerHost.gateway.upstreamUpdates.removeReplaced(asId<UpstreamId>("u2"));
  apply({ upstreams: [createUpstream("u3")] });
  await sharing.fetchFromPeer(PEER);
  t.deepEqual(fetchedWith, [10, 0]);
  apply({ upstreams: [createUpstream("u4")] });
  await sharing.fetchFromPeer(PEER);
  t.deepEqual(fetchedWith, [10, 0, 11]);
  t.deepEqual(names(), ["u1", "u3", "u4"]);
});
