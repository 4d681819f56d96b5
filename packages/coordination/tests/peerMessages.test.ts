import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import test from "ava";
import {
  asId,
  type HostId,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import {
  defineMessage,
  MAX_FRAME_BYTES,
  MemoryNetwork,
  MESSAGE_STRUCTURES,
  numberOf,
  objectOf,
  optional,
  PeerCodec,
  POOL_WITHDRAW,
  PROTOCOL_VERSION,
  sendMessage,
  subscribeMessage,
  textOf,
} from "@wasabivane/coordination";
import { pack } from "msgpackr";
import fc from "fast-check";

const GREETING = defineMessage(
  "test-greeting",
  objectOf({
    text: textOf<string>(MAX_FRAME_BYTES * 2),
    count: optional(numberOf<number>()),
  }),
);
const A = asId<HostId>("a");
const B = asId<HostId>("b");

test("unknown fields of a newer release are ignored", (t) => {
  const codec = new PeerCodec();
  const frame = pack([GREETING.kind, { text: "x", addedLater: [1, 2] }]);
  t.true(codec.decode(frame).isOk());
});

test("an unknown message kind is distinguished from a malformed frame", (t) => {
  const codec = new PeerCodec();
  const newer = codec.decode(pack(["added-later", {}]));
  const malformed = codec.decode(pack([GREETING.kind, { text: 5 }]));
  t.is(newer._unsafeUnwrapErr().kind, "unknown-kind");
  t.is(malformed._unsafeUnwrapErr().kind, "malformed");
  t.is(codec.decode(new Uint8Array([0xc1, 1])).isErr(), true);
});

test("field names in the shared table are not sent, others are", (t) => {
  const codec = new PeerCodec();
  const body = { service: "drafter", request: "request-1" };
  const frame = codec.encode({ kind: POOL_WITHDRAW.kind, body })
    ._unsafeUnwrap();
  t.false(frame.includes("service"));
  t.deepEqual(new PeerCodec().decode(frame)._unsafeUnwrap().body, body);
  const longer = { ...body, addedLater: 1 };
  const withNames = codec.encode({ kind: POOL_WITHDRAW.kind, body: longer })
    ._unsafeUnwrap();
  t.true(withNames.includes("addedLater"));
  t.deepEqual(new PeerCodec().decode(withNames)._unsafeUnwrap().body, longer);
});

test("a frame that overwrites a shared structure is rejected and does not affect later frames", (t) => {
  // Otherwise later messages of every peer would be decoded under wrong field
  // names.
  const codec = new PeerCodec();
  const body = { service: "drafter", request: "request-1" };
  const valid = codec.encode({ kind: POOL_WITHDRAW.kind, body })
    ._unsafeUnwrap();
  for (let number = 0; number < MESSAGE_STRUCTURES.length; number++) {
    const definition = Buffer.from([0xd4, 0x72, 0x40 + number]);
    const names = pack(["service", "request", "extra"]);
    const values = ["drafter", "request-2", 3].map((value) => pack(value));
    const head = Buffer.concat([Buffer.from([0x92]), pack("pool-withdraw")]);
    const frame = Buffer.concat([head, definition, names, ...values]);
    t.is(codec.decode(frame)._unsafeUnwrapErr().kind, "malformed");
    t.deepEqual(codec.decode(valid)._unsafeUnwrap().body, body);
  }
});

test("arbitrary bytes neither make the codec throw nor change the shared table", (t) => {
  const codec = new PeerCodec();
  const body = { service: "drafter", request: "request-1" };
  const valid = codec.encode({ kind: POOL_WITHDRAW.kind, body })
    ._unsafeUnwrap();
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
      codec.decode(bytes);
      t.deepEqual(codec.decode(valid)._unsafeUnwrap().body, body);
    }),
    { seed: 1, numRuns: 500 },
  );
});

test("a change of the shared table requires a new protocol version", (t) => {
  const digest = createHash("sha256")
    .update(JSON.stringify(MESSAGE_STRUCTURES)).digest("hex").slice(0, 16);
  const digests: Record<number, string> = { 2: "ee515770d40b79b7" };
  t.is(digest, digests[PROTOCOL_VERSION]!);
});

test("a frame above the size limit is neither sent nor accepted", (t) => {
  const codec = new PeerCodec();
  const body = { text: "x".repeat(MAX_FRAME_BYTES) };
  const sent = codec.encode({ kind: GREETING.kind, body });
  t.is(sent._unsafeUnwrapErr().kind, "too-large");
  const received = codec.decode(pack([GREETING.kind, body]));
  t.is(received._unsafeUnwrapErr().kind, "too-large");
});

test("the memory network delays, duplicates and blocks messages", (t) => {
  const timer = new VirtualTimer();
  const random = new SeededRandom(1);
  const network = new MemoryNetwork({ timer, random, delayMs: 5 });
  const a = network.join(A);
  const b = network.join(B);
  const seen: string[] = [];
  subscribeMessage(
    b,
    GREETING,
    (from, { text }) => seen.push(`${from} ${text}`),
  );
  sendMessage(a, GREETING, { to: B, body: { text: "first" } });
  timer.advance(4);
  t.deepEqual(seen, []);
  timer.advance(1);
  t.deepEqual(seen, ["a first"]);
  network.partition([[A], [B]]);
  sendMessage(a, GREETING, { to: B, body: { text: "cut" } });
  timer.advance(10);
  network.heal();
  network.setFaults({ duplicateShare: 1 });
  sendMessage(a, GREETING, { to: B, body: { text: "twice" } });
  timer.advance(10);
  t.deepEqual(seen, ["a first", "a twice", "a twice"]);
});

test("a paused host receives its messages on resuming", (t) => {
  const timer = new VirtualTimer();
  const network = new MemoryNetwork({ timer, random: new SeededRandom(1) });
  const a = network.join(A);
  const b = network.join(B);
  const seen: string[] = [];
  subscribeMessage(b, GREETING, (_from, { text }) => seen.push(text));
  b.pause();
  sendMessage(a, GREETING, { to: B, body: { text: "held" } });
  timer.advance(3_600_000);
  t.deepEqual(seen, []);
  b.resume();
  t.deepEqual(seen, ["held"]);
});
