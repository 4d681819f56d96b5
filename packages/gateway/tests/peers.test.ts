import {
  asId,
  asTier,
  type ClientAccountId,
  type Digest,
  type FailureDomain,
  type HostId,
  type Incarnation,
  type RequestId,
  SeededRandom,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type { Cell, RouteId } from "@wasabivane/admission";
import {
  askBelief,
  decodeMessage,
  encodeMessage,
  PeerBook,
  type PeerMention,
  type PeerMessage,
} from "@wasabivane/gateway";
import test from "ava";
import {
  goodHead,
  sendRequest,
  startGateway,
  startHostPair,
  startUpstream,
  until,
} from "./helpers/fleet.ts";

const SELF = asId<HostId>("self");
const WEST = asId<FailureDomain>("west");
const NOW = 10_000;

function mentionOf(
  host: string,
  changes: Partial<PeerMention> = {},
): PeerMention {
  return {
    host: asId<HostId>(host),
    incarnation: asId<Incarnation>("1"),
    address: `${host}:1`,
    failureDomain: WEST,
    age: 5_000,
    silence: 0,
    isLeaving: false,
    canRead: true,
    cores: 0.675,
    ...changes,
  };
}

function createBook(seeds: readonly string[] = []): PeerBook {
  return new PeerBook({
    host: SELF,
    failureDomain: WEST,
    startedAt: 0,
    cores: 1,
    seeds,
  });
}

function targetsOf(book: PeerBook, now: number): string[] {
  const random = new SeededRandom(1);
  return book.takeTargets({ count: 4, random, now }).sort();
}

test("a host is found through a seed, and others through what it mentions", (t) => {
  const book = createBook(["seed:1"]);
  t.deepEqual(targetsOf(book, 0), ["seed:1"]);
  t.deepEqual(targetsOf(book, 100), []);
  t.true(book.hear(mentionOf("seed"), 1, 200));
  t.true(book.hearMention(mentionOf("third", { silence: 100 }), 210));
  t.deepEqual(targetsOf(book, 300), ["seed:1", "third:1"]);
  t.is(book.aliveCount, 2);
});

test("a silent peer is lost, still spoken to, and found again", (t) => {
  // A host restarts or is cut off for seconds. Forgetting its address at once would
  // part two hosts for good whose seeds are all down.
  const book = createBook();
  book.hear(mentionOf("a"), 1, 0);
  const host = asId<HostId>("a");
  t.deepEqual(book.takeChanges(1_400), [{ host, kind: "found" }]);
  t.deepEqual(book.takeChanges(1_600), [{ host, kind: "lost" }]);
  t.is(book.aliveCount, 0);
  t.deepEqual(targetsOf(book, 2_000), ["a:1"]);
  const again = mentionOf("a", { incarnation: asId("2"), age: 50 });
  t.true(book.hear(again, 1, 2_100));
  t.deepEqual(book.takeChanges(2_100), [{ host, kind: "found" }]);
});

test("a word that was overtaken by a newer one changes nothing", (t) => {
  const book = createBook();
  book.hear(mentionOf("a"), 5, 0);
  t.false(book.hear(mentionOf("a"), 4, 10));
  t.true(book.hear(mentionOf("a"), 6, 20));
  t.false(book.hear(mentionOf("self"), 1, 20));
});

test("what peers still tell of a former start does not bring it back", (t) => {
  // A host restarts. Peers that have not heard of it go on mentioning its former
  // process; taken for news, its words would be dropped as those of a stranger.
  const book = createBook();
  const former = mentionOf("a", { age: 9_000 });
  const restarted = mentionOf("a", { incarnation: asId("2"), age: 100 });
  book.hear(former, 40, 9_000);
  t.true(book.hear(restarted, 1, 10_000));
  t.false(book.hearMention({ ...former, age: 10_050, silence: 900 }, 10_050));
  t.true(book.hear(restarted, 2, 10_100));
});

test("a host that stops keeps no cell, and one of whom others hear still does", (t) => {
  const book = createBook();
  book.hear(mentionOf("a"), 1, 0);
  book.hearMention(mentionOf("b", { silence: 500 }), 0);
  const hosts = (now: number): string[] =>
    book.candidates({ isLeaving: false, now })
      .map(({ host }) => String(host)).sort();
  t.deepEqual(hosts(0), ["a", "b", "self"]);
  book.hear(mentionOf("a", { isLeaving: true }), 2, 10);
  t.deepEqual(hosts(10), ["b", "self"]);
});

const CELL: Cell = {
  service: asId<ServiceId>("plans"),
  failureDomain: WEST,
  index: 1,
  count: 2,
};

const MESSAGES: readonly PeerMessage[] = [
  {
    kind: "word",
    word: {
      self: mentionOf("a"),
      sequence: 7,
      policyVersion: 12,
      listRevision: 41,
      proofAge: 40,
      left: [asId<UpstreamId>("u3")],
      crashes: [[asId<Digest>("f"), asId<UpstreamId>("u4"), 20]],
      changes: [{
        from: 40,
        to: 41,
        upstreams: [{
          upstream: asId<UpstreamId>("u5"),
          name: "u5",
          bornAt: 3,
          service: CELL.service,
          address: "10.0.0.3:80",
          failureDomain: WEST,
          slots: 4,
          isLeaving: false,
          coldFor: 1_500,
        }],
        removed: ["u6"],
        evacuated: [WEST],
      }],
      silent: [[asId<HostId>("c"), 900]],
      peers: 9,
      mentions: [mentionOf("b", { silence: 120, canRead: false })],
    },
  },
  {
    kind: "ask",
    ask: {
      host: asId<HostId>("a"),
      incarnation: asId<Incarnation>("1"),
      cell: CELL,
      sequence: 9,
      inFlight: new Map([
        [asId<UpstreamId>("u1"), { requests: 2, pendingPrefillTokens: 900 }],
      ]),
      requests: [{
        request: asId<RequestId>("q"),
        service: CELL.service,
        failureDomain: WEST,
        route: asId<RouteId>("r"),
        tier: asTier(1),
        arrivedAt: NOW - 30,
        target: 400,
        deadline: NOW + 4_000,
        firstByteTimeout: 2_000,
        promptTokens: 2_890,
        expectedTokens: 80,
        pauseTarget: 250,
        parts: [{ part: "y", tokens: 60 }, { part: "x", tokens: 2_830 }],
        excluded: new Set([asId<UpstreamId>("u2")]),
        isContinuation: true,
      }],
      observations: [
        {
          upstream: asId<UpstreamId>("u1"),
          service: CELL.service,
          outcome: "whole",
          residence: 300,
          times: {
            route: asId<RouteId>("r"),
            expectedTokens: 80,
            promptTokens: 3_000,
            latency: 90,
            events: 9,
            latePauses: 1,
            ownTokens: 60,
          },
        },
        {
          upstream: asId<UpstreamId>("u2"),
          service: CELL.service,
          outcome: "unreachable",
          residence: 1,
        },
      ],
      firstObservation: 3,
      decisionsSeen: 5,
      wantsReply: true,
      replyTime: 12,
      withdrawn: [asId<RequestId>("gone")],
      reports: [[asId<UpstreamId>("u1"), 4]],
      waiting: [asId<RequestId>("q"), asId<RequestId>("other")],
    },
  },
  {
    kind: "answer",
    answer: {
      host: asId<HostId>("k"),
      incarnation: asId<Incarnation>("2"),
      cell: { ...CELL, failureDomain: undefined },
      toIncarnation: asId<Incarnation>("1"),
      sequence: 9,
      observationsSeen: 4,
      decisions: [
        {
          number: 6,
          request: asId<RequestId>("q"),
          decision: {
            kind: "place",
            upstream: asId<UpstreamId>("u1"),
            inFlight: 3,
            pendingPrefillTokens: 70,
          },
        },
        {
          number: 7,
          request: asId<RequestId>("p"),
          decision: {
            kind: "refuse",
            reason: "waited-out",
            estimate: { ahead: 2, startsPerSecond: undefined, wait: 40 },
          },
        },
      ],
      snapshots: [{
        cell: CELL,
        capacity: 40,
        free: 3,
        waiting: 0,
        at: NOW - 20,
      }],
      unknownRequests: [asId<RequestId>("other")],
      isLeaving: false,
    },
  },
  { kind: "call", call: { host: asId<HostId>("k"), cell: CELL } },
  {
    kind: "snapshots",
    snapshots: [{ cell: CELL, capacity: 40, free: 0, waiting: 9, at: NOW }],
  },
  {
    kind: "usage",
    usage: {
      host: asId<HostId>("a"),
      incarnation: asId<Incarnation>("1"),
      used: new Map([[asId<ClientAccountId>("family"), 1_234]]),
    },
  },
  {
    kind: "sums",
    sums: {
      host: asId<HostId>("k"),
      incarnation: asId<Incarnation>("2"),
      others: new Map([[asId<ClientAccountId>("family"), 99]]),
    },
  },
];

for (const message of MESSAGES) {
  test(`a datagram comes through as it was written: ${message.kind}`, (t) => {
    const read = decodeMessage(encodeMessage(message, NOW), NOW);
    t.deepEqual(read._unsafeUnwrap(), message);
  });
}

test("noise is an error and no message", (t) => {
  t.true(decodeMessage(new Uint8Array([1, 2, 3]), NOW).isErr());
  t.true(decodeMessage(new Uint8Array([0xc1]), NOW).isErr());
  const bytes = encodeMessage(MESSAGES[1]!, NOW);
  for (let length = 0; length < bytes.length; length++) {
    t.true(decodeMessage(bytes.subarray(0, length), NOW).isErr());
  }
});

test("a host that the store turns away serves on what a peer tells", async (t) => {
  // The store serves one host and refuses the other, which just started and knows
  // nothing. It hears of the policy from its peer, fetches it with the upstreams, and
  // serves while the peer's proofs hold.
  const upstream = await startUpstream((received) => {
    received.socket.write(goodHead(received, { "content-length": 2 }) + "ok");
  });
  const { refused, close } = await startHostPair([upstream]);
  const seen = await sendRequest(refused.url);
  t.deepEqual([seen.status, seen.body], [200, "ok"]);
  await close();
});

test("an upstream's leaving reaches a host that cannot read the store", async (t) => {
  const upstream = await startUpstream(() => {});
  const { reading, refused, close } = await startHostPair([upstream]);
  const [listed] = reading.gateway.context.directory.all();
  reading.gateway.upstreamUpdates.apply({ ...listed!, isLeaving: true });
  await until(() => refused.gateway.context.directory.size === 0);
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
  const [listed] = fleet.gateway.context.directory.all();
  fleet.gateway.upstreamUpdates.apply({ ...listed!, isLeaving: true });
  await fleet.close();
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.pass();
});

test("a host is told only what it does not know yet", async (t) => {
  // Every host fetches a policy that operators change; with the whole list beside it,
  // and the policy beside each change of the list, a fleet would carry mostly repeats.
  const upstream = await startUpstream(() => {});
  const fleet = await startGateway({ upstreams: [upstream] });
  const fetchWith = async (
    known: { policyVersion: number; listRevision: number },
  ): Promise<[boolean, number]> => {
    const { policy, upstreams } = (await askBelief(fleet.peers, known))
      ._unsafeUnwrap();
    return [policy.length > 0, upstreams.length];
  };
  t.deepEqual(await fetchWith({ policyVersion: 0, listRevision: 0 }), [
    true,
    1,
  ]);
  t.deepEqual(await fetchWith({ policyVersion: 1, listRevision: 0 }), [
    false,
    1,
  ]);
  t.deepEqual(await fetchWith({ policyVersion: 0, listRevision: 1 }), [
    true,
    0,
  ]);
  await fleet.close();
});
