import test from "ava";
import {
  DEAD_TIMEOUT_MS,
  HEARTBEAT_PERIOD_MS,
  HOST_LIST,
} from "@wasabivane/coordination";
import { createList, hostName, MemberFleet } from "./helpers/memberFleet.ts";

const A = hostName(1);
const B = hostName(2);
/** A dying host's last heartbeat is up to one period old. */
const SUSPECTED_MS = 1_900;
const STARTUP_MS = 2_000;
/** Silence, one check and the propagation of updates. */
const DETECTION_MS = DEAD_TIMEOUT_MS + 300;

test("a dead host is suspect first and dead after three seconds", (t) => {
  const fleet = new MemberFleet();
  fleet.advance(STARTUP_MS);
  t.is(fleet.memberAt(A, B)?.state, "alive");
  fleet.kill(B);
  fleet.advance(SUSPECTED_MS);
  t.is(fleet.memberAt(A, B)?.state, "suspect");
  fleet.advance(DETECTION_MS - SUSPECTED_MS);
  t.is(fleet.memberAt(A, B)?.state, "dead");
  t.is(fleet.shareAt(A), 7 / 8);
});

test("a restart is distinguished from a pause by the incarnation", (t) => {
  const fleet = new MemberFleet();
  fleet.advance(STARTUP_MS);
  const before = fleet.memberAt(A, B)!.incarnation;
  fleet.pause(B);
  fleet.advance(10_000);
  t.is(fleet.memberAt(A, B)?.state, "dead");
  fleet.resume(B);
  fleet.advance(STARTUP_MS);
  t.is(fleet.memberAt(A, B)?.state, "alive");
  t.is(fleet.memberAt(A, B)?.incarnation, before);
  fleet.kill(B);
  fleet.start(B);
  fleet.advance(STARTUP_MS);
  t.is(fleet.memberAt(A, B)?.state, "alive");
  t.not(fleet.memberAt(A, B)?.incarnation, before);
});

test("a process resumed after a long pause does not consider its peers dead", (t) => {
  // Its own pause must not count as silence of its peers.
  const fleet = new MemberFleet();
  fleet.advance(STARTUP_MS);
  fleet.pause(A);
  fleet.advance(3_600_000);
  fleet.resume(A);
  t.is(fleet.shareAt(A), 1);
  fleet.advance(STARTUP_MS);
  t.is(fleet.shareAt(A), 1);
  t.is(fleet.memberAt(B, A)?.state, "alive");
});

test("each side of a partition knows its reachable share", (t) => {
  const fleet = new MemberFleet();
  fleet.advance(STARTUP_MS);
  const names = [...fleet.hosts.keys()];
  fleet.network.partition([names.slice(0, 3), names.slice(3)]);
  fleet.advance(DETECTION_MS);
  t.is(fleet.shareAt(A), 3 / 8);
  t.is(fleet.shareAt(hostName(8)), 5 / 8);
  fleet.network.heal();
  fleet.advance(STARTUP_MS);
  t.is(fleet.shareAt(A), 1);
});

test("a host learned from peers is a member before it is listed", (t) => {
  const fleet = new MemberFleet({ size: 3 });
  fleet.advance(STARTUP_MS);
  const added = hostName(4);
  const formerList = fleet.list;
  fleet.list = createList([...fleet.hosts.keys(), added], { version: 2 });
  fleet.start(added);
  fleet.advance(STARTUP_MS);
  t.is(fleet.at(A).blackboard.read(HOST_LIST), formerList);
  t.is(fleet.memberAt(A, added)?.state, "alive");
  t.is(fleet.shareAt(A), 1);
});

test("in a larger fleet every host learns of a death with limited traffic per host", (t) => {
  const bytesPerHost = [32, 64].map((size) => {
    const fleet = new MemberFleet({ size });
    fleet.advance(5_000);
    t.is(fleet.shareAt(A), 1);
    const before = fleet.network.sentBytes;
    fleet.advance(10_000);
    const bytes = (fleet.network.sentBytes - before) / 10 / size;
    fleet.kill(B);
    fleet.advance(DETECTION_MS + HEARTBEAT_PERIOD_MS);
    for (const host of fleet.hosts.keys()) {
      t.is(fleet.memberAt(host, B)?.state, "dead");
      t.is(fleet.shareAt(host), (size - 1) / size);
    }
    return bytes;
  });
  t.log(`Bytes sent per host and second at 32 and 64 hosts: ${bytesPerHost}`);
  t.true(bytesPerHost[1]! < bytesPerHost[0]! * 1.1);
});

test("a death is detected even if all monitors of the host died too", (t) => {
  const fleet = new MemberFleet({ size: 32 });
  fleet.advance(5_000);
  const killed = [...fleet.hosts.keys()].slice(1, 17);
  for (const host of killed) fleet.kill(host);
  fleet.advance(15_000);
  for (const host of killed) t.is(fleet.memberAt(A, host)?.state, "dead");
  t.is(fleet.shareAt(A), 0.5);
});
