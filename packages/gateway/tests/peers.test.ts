import {
  asId,
  type ClientAccountId,
  type Digest,
  type HostId,
  type Incarnation,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import {
  decodeWord,
  encodeWord,
  PeerBook,
  type PeerWord,
} from "@wasabivane/gateway";
import test from "ava";
import {
  ask,
  goodHead,
  startGateway,
  startHostPair,
  startUpstream,
  until,
} from "./helpers/fleet.ts";

const SELF = asId<HostId>("self");

function wordOf(
  host: string,
  { incarnation = "1", sequence = 1 } = {},
): Parameters<PeerBook["hear"]>[0] {
  return {
    host: asId<HostId>(host),
    incarnation: asId<Incarnation>(incarnation),
    sequence,
    address: `${host}:1`,
    isReading: true,
  };
}

test("a host is found through a seed, and others through what it mentions", (t) => {
  const book = new PeerBook(SELF, ["seed:1"]);
  t.deepEqual(book.takeTargets(0), ["seed:1"]);
  t.deepEqual(book.takeTargets(100), []);
  t.deepEqual(book.hear(wordOf("seed"), 200), {
    host: asId<HostId>("seed"),
    kind: "found",
  });
  book.hearMention({ host: asId<HostId>("third"), address: "third:1" });
  t.deepEqual(book.takeTargets(300).sort(), ["seed:1", "third:1"]);
  t.is(book.aliveCount, 1);
});

test("a silent peer is lost, still spoken to, and found again", (t) => {
  // A host restarts or is cut off for seconds. Forgetting its address at once would
  // part two hosts for good whose seeds are all down.
  const book = new PeerBook(SELF, []);
  book.hear(wordOf("a"), 0);
  t.deepEqual(book.expire(1_400), []);
  t.deepEqual(book.expire(1_600), [{ host: asId<HostId>("a"), kind: "lost" }]);
  t.is(book.aliveCount, 0);
  t.deepEqual(book.takeTargets(2_000), ["a:1"]);
  const again = book.hear(wordOf("a", { incarnation: "2" }), 2_100);
  t.deepEqual(again, { host: asId<HostId>("a"), kind: "found" });
});

test("a word that was overtaken by a newer one changes nothing", (t) => {
  const book = new PeerBook(SELF, []);
  book.hear(wordOf("a", { sequence: 5 }), 0);
  t.is(book.hear(wordOf("a", { sequence: 4 }), 10), undefined);
  t.is(book.hear(wordOf("a", { sequence: 6 }), 20), "known");
  t.is(book.hear(wordOf("self"), 20), undefined);
});

test("a word comes through as it was written, and noise is an error", (t) => {
  const word: PeerWord = {
    host: asId<HostId>("a"),
    incarnation: asId<Incarnation>("1"),
    sequence: 7,
    address: "10.0.0.1:7600",
    isLeaving: true,
    policyVersion: 12,
    proofAge: 40,
    inFlight: [[asId<UpstreamId>("u1"), 3, 900]],
    waiting: [[asId<ServiceId>("plans"), 1, 2]],
    used: [[asId<ClientAccountId>("family"), 1_234]],
    ejected: [[asId<UpstreamId>("u2"), 300]],
    left: [asId<UpstreamId>("u3")],
    crashes: [[asId<Digest>("f"), asId<UpstreamId>("u4"), 20]],
    mentions: [{ host: asId<HostId>("b"), address: "10.0.0.2:7600" }],
    isReading: true,
    speeds: [[asId<UpstreamId>("u0"), 12.5]],
    listRevision: 41,
  };
  t.deepEqual(decodeWord(encodeWord(word))._unsafeUnwrap(), word);
  t.true(decodeWord(new Uint8Array([1, 2, 3])).isErr());
  t.true(decodeWord(new Uint8Array([0xc1])).isErr());
});

test("a host that the store turns away serves on what a peer tells", async (t) => {
  // The store serves one host and refuses the other, which just started and knows
  // nothing. It hears of the policy from its peer, fetches it with the upstreams, and
  // serves while the peer's proofs hold.
  const upstream = await startUpstream((received) => {
    received.socket.write(goodHead(received, { "content-length": 2 }) + "ok");
  });
  const { refused, close } = await startHostPair([upstream]);
  const seen = await ask(refused.url);
  t.deepEqual([seen.status, seen.body], [200, "ok"]);
  await close();
});

test("an upstream's leaving reaches a host that cannot read the store", async (t) => {
  const upstream = await startUpstream(() => {});
  const { reading, refused, close } = await startHostPair([upstream]);
  const [listed] = reading.gateway.parts.directory.all();
  reading.gateway.upstreams.take({ ...listed!, isLeaving: true });
  await until(() => refused.gateway.parts.directory.size === 0);
  t.pass();
  await close();
});

test("a host that ends while a word is due says nothing any more", async (t) => {
  // An upstream leaves in the moment in which the host ends: the word that tells of
  // it is due a few milliseconds later, on a closed socket. An error there would end
  // the process as a crash instead of an ordered stop.
  const upstream = await startUpstream(() => {});
  const fleet = await startGateway({
    upstreams: [upstream],
    seeds: ["127.0.0.1:9"],
  });
  const [listed] = fleet.gateway.parts.directory.all();
  fleet.gateway.upstreams.take({ ...listed!, isLeaving: true });
  await fleet.close();
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.pass();
});
