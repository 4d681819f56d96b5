import {
  type Address,
  asId,
  type FailureDomain,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import { type Upstream, UpstreamDirectory } from "@wasabivane/admission";
import {
  changeBetween,
  fetchSnapshot,
  joinRevision,
  type ListDifference,
  ListHistory,
  type UpstreamListChange,
} from "@wasabivane/gateway";
import test from "ava";
import * as fc from "fast-check";
import {
  buildEntry,
  startGateway,
  startHostPair,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";

const NOW = 1_000;
const ADDRESS = asId<Address>("127.0.0.1:9");

function createUpstream(
  name: string,
  changes: Partial<Upstream> = {},
): Upstream {
  return {
    upstream: asId<UpstreamId>(name),
    name,
    bornAt: 0,
    service: asId<ServiceId>("plans"),
    address: ADDRESS,
    failureDomain: asId<FailureDomain>("west"),
    slots: 4,
    coldFor: 0,
    softwareVersion: asId("1"),
    isLeaving: false,
    ...changes,
  };
}

/** A host's list with its history. */
class ListedHost {
  readonly directory = new UpstreamDirectory();
  readonly history = new ListHistory();
  revision = 0;

  constructor(names: readonly string[], revision: number) {
    this.directory.replaceAll(names.map((name) => createUpstream(name)));
    this.history.restart(revision);
    this.revision = revision;
  }

  apply(change: UpstreamListChange, keepUntil?: number): void {
    for (const upstream of change.upstreams) this.directory.set(upstream);
    for (const name of change.removed) {
      const known = this.directory.findByName(name);
      if (known !== undefined) this.directory.remove(known.upstream, keepUntil);
    }
    this.history.record(change, this.revision);
    this.revision = change.to;
  }

  change(
    { set = [], removed = [], by = 1 }: {
      set?: readonly Upstream[];
      removed?: readonly string[];
      by?: number;
    },
    keepUntil?: number,
  ): void {
    const from = this.revision;
    this.apply({ from, to: from + by, upstreams: set, removed }, keepUntil);
  }

  since(from: number): ListDifference | undefined {
    const { revision: to, directory } = this;
    return this.history.difference({ from, to, directory, now: NOW });
  }

  get entries(): Upstream[] {
    return this.directory.all().sort((a, b) => a.name < b.name ? -1 : 1);
  }
}

test("a difference has the latest entry of each changed upstream and no others", (t) => {
  const host = new ListedHost(["a", "b", "c"], 10);
  host.change({ set: [createUpstream("d")] });
  host.change({ set: [createUpstream("a", { slots: 6 })], removed: ["b"] });
  host.change({ set: [createUpstream("a", { slots: 8 })], removed: ["d"] });
  const { change } = host.since(10)!;
  t.deepEqual(change.upstreams, [createUpstream("a", { slots: 8 })]);
  t.deepEqual(change.removed.toSorted(), ["b", "d"]);
  t.deepEqual([change.from, change.to], [10, 13]);
  t.deepEqual(host.since(12)!.change.removed, ["d"]);
});

test("the whole list is due where the history does not reach back, the era differs or there is no list", (t) => {
  // Guards against a list that lacks the changes before the history.
  const era = (revision: number): number => joinRevision({ era: 2, revision });
  const host = new ListedHost(["a"], era(10));
  host.change({ set: [createUpstream("b")] });
  t.not(host.since(era(10)), undefined);
  t.is(host.since(era(9)), undefined);
  t.is(host.since(0), undefined);
  t.is(host.since(joinRevision({ era: 1, revision: 500 })), undefined);
  const later = joinRevision({ era: 3, revision: 1 });
  host.apply({ from: era(11), to: later, upstreams: [], removed: [] });
  t.is(host.since(era(11)), undefined);
});

test("a change that does not follow on the list starts the history anew", (t) => {
  // Guards against a difference that lacks a change that this host missed.
  const host = new ListedHost(["a"], 10);
  host.apply({ from: 12, to: 13, upstreams: [], removed: ["a"] });
  t.is(host.since(10), undefined);
  t.not(host.since(13), undefined);
});

test("the history forgets the oldest changes beyond its bound", (t) => {
  // Guards against memory that grows with each upstream that ever registered.
  const host = new ListedHost([], 10);
  for (let index = 0; index < 5_000; index++) {
    host.change({ set: [createUpstream(`u${index}`)] });
  }
  t.is(host.since(10), undefined);
  const { change } = host.since(host.revision - 500)!;
  t.is(change.upstreams.length, 500);
});

test("an upstream that lapsed is in a difference as kept until its end", (t) => {
  // Guards against a lapsed upstream that followers keep for good.
  const host = new ListedHost(["a", "b"], 10);
  host.change({ removed: ["a"] }, NOW + 700);
  const { change, kept } = host.since(10)!;
  t.deepEqual(change.upstreams.map(({ name }) => name), ["a"]);
  t.deepEqual(kept, [{ name: "a", left: 700 }]);
  host.directory.expireLapsed(NOW + 700);
  t.deepEqual(host.since(10)!.change.removed, ["a"]);
  t.deepEqual(host.since(11)!.kept, []);
});

test("an upstream that announced that it leaves is sent as leaving", (t) => {
  // Guards against followers that use it again where an older entry arrives.
  const host = new ListedHost(["a"], 10);
  const leaving = createUpstream("a", { isLeaving: true });
  host.change({ set: [leaving] });
  t.deepEqual(host.since(10)!.change.upstreams, [leaving]);
});

test("an upstream that a restored store listed before its use is in all differences", (t) => {
  // Guards against hosts that never learn of it, as no revision tells of it.
  const host = new ListedHost(["a"], 10);
  const listed = createUpstream("b");
  host.directory.set(listed);
  host.history.addToAll([listed]);
  host.change({ set: [createUpstream("c")] });
  const names = host.since(10)!.change.upstreams.map(({ name }) => name);
  t.deepEqual(names, ["b", "c"]);
});

test("an upstream that is held back after a restore is not sent as removed", (t) => {
  // Guards against peers that drop an upstream that the store lists and that
  // this host does not use yet.
  const host = new ListedHost(["a", "b"], 10);
  host.change({ removed: ["b"] });
  const listed = createUpstream("b");
  const whole = [createUpstream("a"), listed];
  host.directory.replaceAll(whole, { ignoreRemovedUntil: NOW });
  host.history.record(
    { from: 11, to: 12, upstreams: [listed], removed: [] },
    11,
  );
  host.revision = 12;
  const { change } = host.since(11)!;
  t.deepEqual([change.upstreams, change.removed], [[], []]);
  host.directory.expireRestored(NOW);
  t.deepEqual(host.since(11)!.change.upstreams, [listed]);
});

test("differences in any order of fetches lead to the same list", (t) => {
  const step = fc.record({
    set: fc.array(fc.tuple(fc.nat(9), fc.integer({ min: 1, max: 4 }))),
    removed: fc.uniqueArray(fc.nat(9), { maxLength: 3 }),
    hosts: fc.array(fc.tuple(fc.nat(3), fc.nat(3)), { maxLength: 3 }),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
    const hosts = Array.from({ length: 4 }, () => new ListedHost(["n1"], 10));
    const [reader] = hosts;
    for (const { set, removed, hosts: fetches } of steps) {
      reader!.change({
        set: set.filter(([name]) => !removed.includes(name))
          .map(([name, slots]) => createUpstream(`n${name}`, { slots })),
        removed: removed.map((name) => `n${name}`),
        by: 2,
      });
      for (const [to, from] of fetches) fetchList(hosts[to]!, hosts[from]!);
    }
    for (const host of hosts) {
      fetchList(host, reader!);
      t.deepEqual(host.entries, reader!.entries);
    }
  }));
});

/** Brings a host to the list of another one that is newer. */
function fetchList(host: ListedHost, peer: ListedHost): void {
  if (peer.revision <= host.revision) return;
  const { change } = peer.since(host.revision)!;
  host.apply(change);
}

test("the change that a whole list makes has what differs and what lapsed", (t) => {
  const former = ["a", "b", "c"].map((name) => createUpstream(name));
  const change = changeBetween(former, {
    from: 10,
    to: 12,
    upstreams: [
      createUpstream("a"),
      createUpstream("b", { slots: 9 }),
      createUpstream("d"),
    ],
    kept: [{ name: "a", left: 5 }],
  });
  t.deepEqual(change.upstreams.map(({ name }) => name), ["b", "d"]);
  t.deepEqual(change.removed, ["c", "a"]);
});

const LISTED = 200;
const CHANGES = 40;

test("the entries that a host fetches during a start grow with the changes, not with changes times upstreams", async (t) => {
  // Guards against a start whose cost grows with hosts times upstreams.
  const host = await startGateway({ upstreams: [] });
  t.teardown(() => host.close());
  const { gateway, peerAddress } = host;
  const { timer } = gateway.context;
  const entry = (index: number): Upstream =>
    buildEntry(`u${index}`, { address: `127.0.0.1:${9_000 + index}` });
  gateway.storeSharing.applyStoreList({
    upstreams: Array.from({ length: LISTED }, (_, index) => entry(index)),
    evacuated: [],
    revision: 10,
  }, 0);
  let fetched = 0;
  for (let revision = 10; revision < 10 + CHANGES; revision++) {
    gateway.applyListChange({
      from: revision,
      to: revision + 1,
      upstreams: [entry(LISTED + revision)],
      removed: [],
    });
    const known = { policyVersion: 1, listRevision: revision };
    const snapshot = (await fetchSnapshot(peerAddress, { ...known, timer }))
      ._unsafeUnwrap();
    fetched += snapshot.upstreams.length +
      (snapshot.change?.upstreams.length ?? 0);
  }
  t.is(fetched, CHANGES);
});

test("a change too large for a message reaches a follower as a difference", async (t) => {
  // Guards against whole lists between hosts that have the same history.
  const upstream = await startUpstream(() => {});
  const { reader, follower, close } = await startHostPair([upstream]);
  t.teardown(close);
  const names = Array.from({ length: 10 }, (_, index) => `n${index}`);
  reader.gateway.applyListChange({
    from: 1,
    to: 2,
    upstreams: names.map((name) => buildEntry(name, { address: ADDRESS })),
    removed: ["u0"],
  });
  const { storeSharing, context } = follower.gateway;
  await waitUntil(() => storeSharing.listRevision === 2);
  const listed = context.directory.all().map(({ name }) => name);
  t.deepEqual(listed.toSorted(), names);
  const text = await context.metrics.text();
  t.regex(text, /name="list_changes_fetched"\} 1\n/);
  t.regex(text, /name="whole_lists_fetched"\} 1\n/);
});
