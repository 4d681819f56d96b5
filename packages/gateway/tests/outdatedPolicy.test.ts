import { Buffer } from "node:buffer";
import { createSocket } from "node:dgram";
import {
  type Address,
  asId,
  type FailureDomain,
  type HostId,
  type Incarnation,
} from "@wasabivane/common";
import {
  encodeMessage,
  type GossipMessage,
  PolicyState,
} from "@wasabivane/gateway";
import test from "ava";
import {
  buildPolicy,
  sendRequest,
  startGateway,
  waitUntil,
} from "./helpers/fleet.ts";
import { PlainDialect } from "./helpers/plainDialect.ts";

/** Nothing listens there, so that no snapshot can be fetched. */
const UNREACHABLE_ADDRESS = asId<Address>("127.0.0.1:9");

/** Builds the message of a peer that has another policy version. */
function createMessage(policyVersion: number): GossipMessage {
  return {
    sender: {
      host: asId<HostId>("peer"),
      incarnation: asId<Incarnation>("1"),
      address: UNREACHABLE_ADDRESS,
      failureDomain: asId<FailureDomain>("west"),
      age: 5_000,
      timeSinceHeard: 0,
      isLeaving: false,
      isStoreReachable: true,
      cores: 1,
    },
    sequence: 1,
    policyVersion,
    policyRevision: 2,
    listRevision: 1,
    confirmationAge: 0,
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
  };
}

async function sendDatagram(bytes: Uint8Array, address: string): Promise<void> {
  const [ip, port] = address.split(":");
  const socket = createSocket("udp4");
  await new Promise((resolve) => socket.send(bytes, Number(port), ip, resolve));
  socket.close();
}

test("a host denies no route while a peer has a newer policy", async (t) => {
  // Guards against a 404 for a route that was added, from a host that has yet to fetch
  // the policy with it.
  const host = await startGateway({ upstreams: [] });
  t.teardown(() => host.close());
  const { timer } = host.gateway.context;
  t.is((await sendRequest(host.url, { path: "/added/" })).status, 404);
  const gossip = createMessage(2);
  const bytes = encodeMessage({ kind: "word", gossip }, timer.now());
  await sendDatagram(bytes, host.peerAddress);
  await waitUntil(() =>
    host.lines.some(({ event }) => event === "peers_changed")
  );
  t.is((await sendRequest(host.url, { path: "/added/" })).status, 503);
});

test("an outdated policy is not served by beyond the bound for a newer one", (t) => {
  // Guards against a host that runs requests by routes and keys that were dropped.
  const bounds = { revocationBound: 5_000, applyBound: 2_000 };
  const policies = new PolicyState({ dialect: new PlainDialect(), bounds });
  const adopt = (version: number): void => {
    const bytes = Buffer.from(JSON.stringify(buildPolicy({ version })));
    policies.adopt(bytes, { confirmedAt: 0, revision: 1 })._unsafeUnwrap();
  };
  adopt(1);
  t.true(policies.isInForce(2_001));
  t.true(policies.recordAnnouncement(2));
  t.true(policies.isInForce(2_000));
  t.false(policies.isInForce(2_001));
  adopt(2);
  t.true(policies.isInForce(2_001));
});
