import { createSocket } from "node:dgram";
import { Buffer } from "node:buffer";
import {
  type Address,
  asId,
  type HostId,
  type ServiceId,
} from "@wasabivane/common";
import { PeerChannel } from "../src/peerChannel.ts";
import { selectRows } from "../src/rowValues.ts";
import test from "ava";
import { freePorts } from "./helpers/freePorts.ts";

const ROWS = 20_000;
const DATAGRAMS = 200;

test("a message of malformed rows is given up after a few", (t) => {
  // Guards against one datagram that keeps the process busy with thousands of
  // exceptions.
  let tried = 0;
  const rows = Array.from({ length: ROWS }, () => []);
  t.throws(() =>
    selectRows(rows, () => {
      tried++;
      throw new TypeError("Expected a string");
    })
  );
  t.true(tried < 100, `${tried} rows`);
});

test("a few malformed rows do not hide the sound ones", (t) => {
  const rows = [[1], ["x"], [2], ["y"], [3]];
  const decoded = selectRows(rows, ([value]) => {
    if (typeof value !== "number") throw new TypeError("Expected a number");
    return value;
  });
  t.deepEqual(decoded, [1, 2, 3]);
});

test("a source of many malformed datagrams is no longer decoded", async (t) => {
  // Guards against messages of peers that wait behind the garbage of a stranger.
  const [port, senderPort] = await freePorts(2) as [number, number];
  let malformed = 0;
  let heard = 0;
  let onCall: (kind: string) => void = () => {};
  const call = new Promise<string>((resolve) => onCall = resolve);
  const channel = new PeerChannel({
    now: () => 0,
    onMessage: ({ kind }) => onCall(kind),
    onMalformed: () => malformed++,
    onTraffic: (direction) => {
      if (direction === "heard") heard++;
    },
  });
  const peer = new PeerChannel({
    now: () => 0,
    onMessage: () => {},
    onMalformed: () => {},
    onTraffic: () => {},
  });
  const stranger = createSocket("udp4");
  t.teardown(() => {
    channel.close();
    peer.close();
    stranger.close();
  });
  (await channel.open(`127.0.0.1:${port}`))._unsafeUnwrap();
  (await peer.open(`127.0.0.1:${senderPort}`))._unsafeUnwrap();
  const garbage = Buffer.from('[17,"word",[[]]]');
  for (let index = 0; index < DATAGRAMS; index++) {
    await new Promise((resolve) =>
      stranger.send(garbage, port, "127.0.0.1", resolve)
    );
  }
  const cell = {
    service: asId<ServiceId>("s"),
    failureDomain: undefined,
    index: 0,
    count: 1,
  };
  peer.send({
    kind: "call",
    announcement: { host: asId<HostId>("h2"), cell },
  }, [asId<Address>(`127.0.0.1:${port}`)]);
  t.is(await call, "call");
  t.true(heard > 100, `${heard} heard`);
  t.true(malformed > 0 && malformed < 50, `${malformed} decoded`);
});
