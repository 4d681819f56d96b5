import test from "ava";
import fc from "fast-check";
import {
  asId,
  Blackboard,
  createTopic,
  type Digest,
  type HostId,
  MemoryMetrics,
  SeededRandom,
  type ServiceId,
  VirtualTimer,
} from "@wasabivane/common";
import type { PoisonRecord } from "@wasabivane/decisions";
import {
  MemoryNetwork,
  PoisonRecordController,
  type PoisonRecordMember,
  PoisonRecordTable,
  type ServicePoisonRecords,
  type SharedPoisonRecord,
} from "@wasabivane/coordination";
import { hostName } from "./helpers/configurationFleet.ts";

const MEMBERS = createTopic<readonly PoisonRecordMember[]>("members", []);
const DRAFTER = asId<ServiceId>("drafter");
const POISON = asId<Digest>("poison");

interface Host {
  readonly learned: PoisonRecord[];
  readonly imported: ServicePoisonRecords[];
  readonly metrics: MemoryMetrics;
}

function startFleet(size: number, dropShare = 0): {
  timer: VirtualTimer;
  network: MemoryNetwork;
  hosts: Map<HostId, Host>;
} {
  const timer = new VirtualTimer();
  const random = new SeededRandom(1);
  const network = new MemoryNetwork({ timer, random, dropShare, jitterMs: 2 });
  const hosts = new Map<HostId, Host>();
  const names = Array.from({ length: size }, (_, index) => hostName(index + 1));
  for (const host of names) {
    const blackboard = new Blackboard();
    const started: Host = {
      learned: [],
      imported: [],
      metrics: new MemoryMetrics(),
    };
    hosts.set(host, started);
    new PoisonRecordController({
      blackboard,
      link: network.join(host),
      timer,
      random,
      metrics: started.metrics,
      members: MEMBERS,
      drain: () => [{
        service: DRAFTER,
        records: started.learned.splice(0),
      }],
      importPoisonRecords: (records) => started.imported.push(records),
    }).start();
    blackboard.write(
      MEMBERS,
      names.map((name) => ({ host: name, state: "alive" as const })),
    );
  }
  return { timer, network, hosts };
}

function knows(host: Host, kind: PoisonRecord["kind"]): boolean {
  return host.imported.some(({ records }) =>
    records.some((record) =>
      record.fingerprint === POISON && record.kind === kind
    )
  );
}

test("the record of a quarantined request reaches every host within a second", (t) => {
  // A coordinator without the record would lose another upstream to the resent
  // request.
  for (const size of [2, 8, 32]) {
    const { timer, hosts } = startFleet(size);
    const [first, ...others] = hosts.values();
    first!.learned.push({
      fingerprint: POISON,
      kind: "convicted",
      remainingMs: 60_000,
    });
    timer.advance(1_000);
    t.true(others.every((host) => knows(host, "convicted")), `size ${size}`);
  }
});

test("lost updates are recovered by comparing tables, with little idle traffic", (t) => {
  const { timer, network, hosts } = startFleet(8, 1);
  const [first, ...others] = hosts.values();
  first!.learned.push({
    fingerprint: POISON,
    kind: "suspect",
    remainingMs: 60_000,
  });
  timer.advance(2_000);
  t.false(others.some((host) => knows(host, "suspect")));
  network.setFaults({ dropShare: 0.2 });
  timer.advance(10_000);
  t.true(others.every((host) => knows(host, "suspect")));
  const before = network.sentBytes;
  timer.advance(10_000);
  const perHostAndSecond = (network.sentBytes - before) / 8 / 10;
  t.log(`${perHostAndSecond} bytes per host and second`);
  t.true(perHostAndSecond < 200);
});

test("poison records expire on every host even if forwarded in a cycle", (t) => {
  const { timer, hosts } = startFleet(8);
  const [first] = hosts.values();
  first!.learned.push({
    fingerprint: POISON,
    kind: "suspect",
    remainingMs: 5_000,
  });
  timer.advance(20_000);
  for (const host of hosts.values()) {
    t.true(host.metrics.counter("suspicions_learned") <= 2);
  }
});

const shared = fc.record({
  service: fc.constant(DRAFTER),
  subject: fc.constantFrom(POISON, asId<Digest>("other")),
  kind: fc.constantFrom<SharedPoisonRecord["kind"]>(
    "suspect",
    "cleared",
    "convicted",
  ),
  remainingMs: fc.constant(10_000),
});

test("tables agree regardless of the order and repetition of updates", (t) => {
  fc.assert(fc.property(fc.array(shared), (records) => {
    const forward = new PoisonRecordTable();
    const backward = new PoisonRecordTable();
    forward.merge(records, 0);
    backward.merge(records.toReversed(), 0);
    backward.merge(records, 0);
    t.is(forward.checksum(1), backward.checksum(1));
  }));
});

test("a table stays within its limit and drops the entries that expire first", (t) => {
  const table = new PoisonRecordTable({ maximum: 10 });
  for (let index = 0; index < 100; index++) {
    const subject = asId<Digest>(`content-${index}`);
    const remainingMs = 1_000 + index;
    table.merge(
      [{ service: DRAFTER, subject, kind: "suspect", remainingMs }],
      0,
    );
  }
  t.is(table.size, 10);
  t.true(table.entries(0).every(({ remainingMs }) => remainingMs >= 1_090));
});
