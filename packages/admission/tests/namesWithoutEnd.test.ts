import {
  asId,
  type ClientAccountId,
  type HostId,
  type Incarnation,
  SeededRandom,
  type ServiceId,
} from "@wasabivane/common";
import { QuotaLedger } from "@wasabivane/admission";
import test from "ava";
import { CellSnapshots } from "../src/cellSnapshots.ts";

const NAMES = 10_000;
const MOST_KEPT = 3_000;

test("snapshots of cells without end fill no memory", (t) => {
  // Guards against a stranger whose messages name new services all the time.
  const snapshots = new CellSnapshots();
  const cellOf = (name: string) => ({
    service: asId<ServiceId>(name),
    failureDomain: undefined,
    index: 0,
    count: 1,
  });
  const counts = { at: 0, capacity: 8, free: 8, waiting: 0 };
  for (let index = 0; index < NAMES; index++) {
    snapshots.update({ cell: cellOf(`s${index}`), ...counts });
    snapshots.update({ cell: cellOf("renewed"), ...counts });
  }
  const cells = Array.from(
    { length: NAMES },
    (_, index) => cellOf(`s${index}`),
  );
  const kept = cells.filter((cell) => snapshots.get(cell, 0) !== undefined);
  t.true(kept.length < MOST_KEPT, `${kept.length}`);
  const random = new SeededRandom(1);
  const renewed = cellOf("renewed");
  t.is(snapshots.pickByFreeSlots([renewed], { random, now: 0 }), renewed);
});

test("reports of hosts without end fill no memory", (t) => {
  // Guards against a stranger that reports the use of accounts under new names.
  const ledger = new QuotaLedger({
    startedAt: -Infinity,
    tolerance: { overrun: 0, slack: 0, span: 0 },
    quotaOf: () => "unlimited",
    levelOf: () => undefined,
    fleetSize: () => 1,
    isDiscovering: () => false,
  });
  const demand = {
    account: asId<ClientAccountId>("a"),
    used: 0,
    returned: 0,
    limit: 0,
    needed: 1,
    requestUnits: 1,
    isIdle: false,
  };
  let hosts = 0;
  for (let index = 0; index < NAMES; index++) {
    const grants = ledger.receive({
      host: asId<HostId>(`h${index}`),
      incarnation: asId<Incarnation>("1"),
      demands: [demand],
      isLast: false,
    }, 100);
    hosts = grants.hosts;
  }
  t.true(hosts < MOST_KEPT, `${hosts}`);
});
