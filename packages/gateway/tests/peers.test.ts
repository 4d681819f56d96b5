import {
  type Address,
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
import type { Cell, RouteId, SoftwareVersion } from "@wasabivane/admission";
import {
  decodeMessage,
  encodeMessage,
  fetchSnapshot,
  PeerDirectory,
  type PeerMessage,
  type PeerRecord,
} from "@wasabivane/gateway";
import test from "ava";
import {
  responseHead,
  sendRequest,
  startGateway,
  startHostPair,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";

const SELF = asId<HostId>("self");
const WEST = asId<FailureDomain>("west");
const NOW = 10_000;

function createRecord(
  host: string,
  changes: Partial<PeerRecord> = {},
): PeerRecord {
  return {
    host: asId<HostId>(host),
    incarnation: asId<Incarnation>("1"),
    address: asId<Address>(`${host}:1`),
    failureDomain: WEST,
    age: 5_000,
    timeSinceHeard: 0,
    isLeaving: false,
    isStoreReachable: true,
    cores: 0.675,
    ...changes,
  };
}

function createDirectory(seeds: readonly string[] = []): PeerDirectory {
  return new PeerDirectory({
    host: SELF,
    failureDomain: WEST,
    startedAt: 0,
    cores: 1,
    seeds: seeds.map(asId<Address>),
  });
}

function drawTargets(directory: PeerDirectory, now: number): string[] {
  const random = new SeededRandom(1);
  return directory.drawTargets({ count: 4, random, now }).sort();
}

test("a host is discovered through a seed, and others through its records", (t) => {
  const directory = createDirectory(["seed:1"]);
  t.deepEqual(drawTargets(directory, 0), ["seed:1"]);
  t.deepEqual(drawTargets(directory, 100), []);
  t.true(directory.recordMessage(createRecord("seed"), 1, 200));
  t.true(
    directory.mergeRecord(createRecord("third", { timeSinceHeard: 100 }), 210),
  );
  t.deepEqual(drawTargets(directory, 300), ["seed:1", "third:1"]);
  t.is(directory.aliveCount, 2);
});

test("a silent peer is lost, is still contacted, and is found again", (t) => {
  // Guards against two hosts that lose each other for good while all seeds are
  // down.
  const directory = createDirectory();
  directory.recordMessage(createRecord("a"), 1, 0);
  const host = asId<HostId>("a");
  t.deepEqual(directory.takeChanges(1_400), [{ host, kind: "found" }]);
  t.deepEqual(directory.takeChanges(1_600), [{ host, kind: "lost" }]);
  t.is(directory.aliveCount, 0);
  t.deepEqual(drawTargets(directory, 2_000), ["a:1"]);
  const again = createRecord("a", { incarnation: asId("2"), age: 50 });
  t.true(directory.recordMessage(again, 1, 2_100));
  t.deepEqual(directory.takeChanges(2_100), [{ host, kind: "found" }]);
});

test("a message that arrives after a newer one is ignored", (t) => {
  const directory = createDirectory();
  directory.recordMessage(createRecord("a"), 5, 0);
  t.false(directory.recordMessage(createRecord("a"), 4, 10));
  t.true(directory.recordMessage(createRecord("a"), 6, 20));
  t.false(directory.recordMessage(createRecord("self"), 1, 20));
});

test("records of a former incarnation do not replace the current one", (t) => {
  // Guards against dropping a restarted host's messages because of outdated
  // records.
  const directory = createDirectory();
  const former = createRecord("a", { age: 9_000 });
  const restarted = createRecord("a", { incarnation: asId("2"), age: 100 });
  directory.recordMessage(former, 40, 9_000);
  t.true(directory.recordMessage(restarted, 1, 10_000));
  t.false(
    directory.mergeRecord(
      { ...former, age: 10_050, timeSinceHeard: 900 },
      10_050,
    ),
  );
  t.true(directory.recordMessage(restarted, 2, 10_100));
});

test("a host that was suspended is soon trusted again although others know its former age", (t) => {
  // Guards against hosts that all read the store after their readers were suspended.
  const directory = createDirectory();
  const suspension = 3_000;
  const second = 1_000;
  for (let at = 0; at < 60; at++) {
    const now = at * second;
    const age = 5_000 + now;
    directory.mergeRecord(createRecord("a", { age }), now);
    const lost = at < 10 ? 0 : suspension;
    directory.recordMessage(
      createRecord("a", { age: age - lost }),
      at + 1,
      now,
    );
    if (at === 9) t.is(directory.transitOf(asId<HostId>("a")), 0);
    if (at === 10) t.is(directory.transitOf(asId<HostId>("a")), suspension);
  }
  t.is(directory.transitOf(asId<HostId>("a")), 0);
});

test("a stopping host may not coordinate a cell, and one known from others' records may", (t) => {
  const directory = createDirectory();
  directory.recordMessage(createRecord("a"), 1, 0);
  directory.mergeRecord(createRecord("b", { timeSinceHeard: 500 }), 0);
  const hosts = (now: number): string[] =>
    directory.candidates({ isLeaving: false, now })
      .map(({ host }) => String(host)).sort();
  t.deepEqual(hosts(0), ["a", "b", "self"]);
  directory.recordMessage(createRecord("a", { isLeaving: true }), 2, 10);
  t.deepEqual(hosts(10), ["b", "self"]);
});

test("counts of peers follow each change of a peer", (t) => {
  // Guards against hosts that rely on readers that are lost or stop.
  const directory = createDirectory();
  const first = Array.from({ length: 60 }, (_, index) => `h${index}`)
    .find((host) => {
      const alone = createDirectory();
      alone.recordMessage(createRecord(host), 1, 0);
      return alone.precedingReaderCount === 1;
    })!;
  const counts = (): number[] => [
    directory.aliveCount,
    directory.storeReaderCount,
    directory.precedingReaderCount,
  ];
  t.deepEqual(counts(), [0, 0, 0]);
  let sequence = 0;
  const receive = (changes: Partial<PeerRecord>, now: number): void => {
    directory.recordMessage(createRecord(first, changes), ++sequence, now);
  };
  receive({}, 0);
  t.deepEqual(counts(), [1, 1, 1]);
  receive({ isStoreReachable: false }, 100);
  t.deepEqual(counts(), [1, 0, 0]);
  receive({}, 200);
  t.deepEqual(counts(), [1, 1, 1]);
  directory.takeChanges(2_000);
  t.deepEqual(counts(), [0, 0, 0]);
  receive({}, 2_100);
  t.deepEqual(counts(), [1, 1, 1]);
  receive({ isLeaving: true }, 2_200);
  t.deepEqual(counts(), [1, 1, 0]);
  directory.takeChanges(90_000);
  t.deepEqual(drawTargets(directory, 90_000), []);
});

test("a message goes to distinct peers", (t) => {
  const directory = createDirectory();
  for (let index = 0; index < 9; index++) {
    directory.recordMessage(createRecord(`h${index}`), 1, 0);
  }
  const random = new SeededRandom(1);
  const reached = new Set<string>();
  for (let round = 0; round < 40; round++) {
    const targets = directory.drawTargets({ count: 4, random, now: 0 });
    t.is(new Set(targets).size, 4);
    for (const target of targets) reached.add(target);
  }
  t.is(reached.size, 9);
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
    gossip: {
      sender: createRecord("a", { address: asId("10.0.0.1:1") }),
      sequence: 7,
      policyVersion: 12,
      policyRevision: 40,
      listRevision: 41,
      confirmationAge: 40,
      leavingUpstreams: [asId<UpstreamId>("u3")],
      crashes: [[asId<Digest>("f"), asId<UpstreamId>("u4"), 20]],
      completions: [],
      partCrashes: [{
        upstream: asId<UpstreamId>("u4"),
        softwareVersion: asId<SoftwareVersion>("1.1"),
        at: NOW - 20,
        sentAt: NOW - 70,
        account: asId<Digest>("a"),
        parts: [asId<Digest>("p"), asId<Digest>("q")],
      }],
      partCompletions: [{
        part: asId<Digest>("q"),
        at: NOW - 10,
        softwareVersion: asId<SoftwareVersion>("1.1"),
      }],
      partConvictions: [{
        parts: [asId<Digest>("p")],
        account: undefined,
        lastCrashAt: NOW - 20,
        failedTrials: 1,
        softwareVersions: [asId<SoftwareVersion>("1.1")],
      }],
      listChanges: [{
        from: 40,
        to: 41,
        upstreams: [{
          upstream: asId<UpstreamId>("u5"),
          name: "u5",
          bornAt: 3,
          service: CELL.service,
          address: asId<Address>("10.0.0.3:80"),
          failureDomain: WEST,
          slots: 4,
          isLeaving: false,
          coldFor: 1_500,
          softwareVersion: asId<SoftwareVersion>("1.1"),
        }],
        removed: ["u6"],
        evacuated: [WEST],
      }],
      unresponsiveHosts: [[asId<HostId>("c"), 900]],
      peerCount: 9,
      peerRecords: [
        createRecord("b", {
          address: asId("10.0.0.2:1"),
          timeSinceHeard: 120,
          isStoreReachable: false,
        }),
      ],
    },
  },
  {
    kind: "ask",
    update: {
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
        softwareVersion: asId<SoftwareVersion>("1.1"),
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
      backoffs: [[asId<UpstreamId>("u2"), NOW + 3_000]],
      reports: [
        [asId<UpstreamId>("u1"), { requests: 4, startsPerSecond: undefined }],
        [asId<UpstreamId>("u2"), { requests: undefined, startsPerSecond: 2.7 }],
        [asId<UpstreamId>("u3"), {
          requests: 1,
          startsPerSecond: undefined,
          rejectionsPerSecond: 4,
        }],
      ],
      waiting: [asId<RequestId>("q"), asId<RequestId>("other")],
    },
  },
  {
    kind: "answer",
    reply: {
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
        {
          number: 8,
          request: asId<RequestId>("s"),
          decision: {
            kind: "refuse",
            reason: "line-too-long",
            estimate: { ahead: 2, startsPerSecond: 3, wait: 40 },
            by: "share",
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
  { kind: "call", announcement: { host: asId<HostId>("k"), cell: CELL } },
  {
    kind: "snapshots",
    snapshots: [{ cell: CELL, capacity: 40, free: 0, waiting: 9, at: NOW }],
  },
  {
    kind: "demand",
    report: {
      host: asId<HostId>("a"),
      incarnation: asId<Incarnation>("1"),
      demands: [{
        account: asId<ClientAccountId>("family"),
        used: 1_234,
        returned: 20,
        limit: 1_500,
        needed: 400,
        requestUnits: 600,
        isIdle: true,
      }],
      isLast: false,
    },
  },
  {
    kind: "grant",
    grant: {
      grantor: asId<HostId>("k"),
      to: asId<HostId>("a"),
      toIncarnation: asId<Incarnation>("1"),
      grants: {
        accounts: new Map([
          [asId<ClientAccountId>("family"), { limit: 1_600, level: -99 }],
        ]),
        hosts: 7,
        isSettled: true,
      },
    },
  },
  {
    kind: "begun",
    records: [[asId<RequestId>("q"), {
      service: CELL.service,
      softwareVersion: asId<SoftwareVersion>("1.1"),
    }]],
  },
  {
    kind: "seek",
    query: {
      host: asId<HostId>("a"),
      request: asId<RequestId>("r"),
      resumes: asId<RequestId>("q"),
      service: CELL.service,
    },
  },
  {
    kind: "origin",
    reply: {
      host: asId<HostId>("b"),
      request: asId<RequestId>("r"),
      origin: undefined,
      isPending: true,
    },
  },
];

for (const message of MESSAGES) {
  test(`a message is decoded as it was encoded: ${message.kind}`, (t) => {
    const read = decodeMessage(encodeMessage(message, NOW), NOW);
    t.deepEqual(read._unsafeUnwrap(), message);
  });
}

test("bytes that are not a message are an error", (t) => {
  t.true(decodeMessage(new Uint8Array([1, 2, 3]), NOW).isErr());
  t.true(decodeMessage(new Uint8Array([0xc1]), NOW).isErr());
  const bytes = encodeMessage(MESSAGES[1]!, NOW);
  for (let length = 0; length < bytes.length; length++) {
    t.true(decodeMessage(bytes.subarray(0, length), NOW).isErr());
  }
});

test("a host without access to the store serves with a peer's snapshot", async (t) => {
  const upstream = await startUpstream((received) => {
    received.socket.write(
      responseHead(received, { "content-length": 2 }) + "ok",
    );
  });
  const { follower, close } = await startHostPair([upstream]);
  const seen = await sendRequest(follower.url);
  t.deepEqual([seen.status, seen.body], [200, "ok"]);
  await close();
});

test("a host that cannot read the store learns that an upstream is leaving", async (t) => {
  const upstream = await startUpstream(() => {});
  const { reader, follower, close } = await startHostPair([
    upstream,
  ]);
  const [listed] = reader.gateway.context.directory.all();
  reader.gateway.upstreamUpdates.apply({ ...listed!, isLeaving: true });
  const { directory } = follower.gateway.context;
  await waitUntil(() => directory.of(listed!.service).length === 0);
  t.is(directory.get(listed!.upstream), undefined);
  await close();
});

test("a host that closes while a message is scheduled does not send it", async (t) => {
  // Guards against an error from the closed socket that crashes the process.
  const upstream = await startUpstream(() => {});
  const host = await startGateway({
    upstreams: [upstream],
    seeds: ["127.0.0.1:9"],
  });
  const [listed] = host.gateway.context.directory.all();
  host.gateway.upstreamUpdates.apply({ ...listed!, isLeaving: true });
  await host.close();
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.pass();
});

test("a snapshot contains only what the requesting host does not have", async (t) => {
  // Guards against sending the policy and the whole list with every change.
  const upstream = await startUpstream(() => {});
  const host = await startGateway({ upstreams: [upstream] });
  const fetchWith = async (
    known: { policyVersion: number; listRevision: number },
  ): Promise<[boolean, number]> => {
    const { timer } = host.gateway.context;
    const fetched = await fetchSnapshot(host.peerAddress, { ...known, timer });
    const { policy, upstreams } = fetched._unsafeUnwrap();
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
  await host.close();
});

test("records of hosts without end fill no memory, and known hosts stay", (t) => {
  // Guards against a stranger whose messages name new hosts all the time.
  const directory = createDirectory();
  t.true(directory.recordMessage(createRecord("known"), 1, 0));
  for (let index = 0; index < 10_000; index++) {
    directory.mergeRecord(createRecord(`stranger${index}`), 100);
  }
  t.true(directory.aliveCount < 3_000, `${directory.aliveCount}`);
  t.true(directory.recordMessage(createRecord("known"), 2, 200));
});
