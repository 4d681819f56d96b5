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
  numberOf,
  objectOf,
  optional,
  PeerCodec,
  sendMessage,
  subscribeMessage,
  textOf,
} from "@wasabivane/coordination";
import { pack } from "msgpackr";

const GREETING = defineMessage(
  "test-greeting",
  objectOf({
    text: textOf<string>(MAX_FRAME_BYTES * 2),
    count: optional(numberOf<number>()),
  }),
);
const A = asId<HostId>("a");
const B = asId<HostId>("b");

test("fields of a newer release are ignored, not refused", (t) => {
  const codec = new PeerCodec();
  const frame = pack([GREETING.kind, { text: "x", addedLater: [1, 2] }]);
  t.true(codec.decode(frame).isOk());
});

test("a kind of a newer release is told from rubbish", (t) => {
  const codec = new PeerCodec();
  const newer = codec.decode(pack(["added-later", {}]));
  const rubbish = codec.decode(pack([GREETING.kind, { text: 5 }]));
  t.is(newer._unsafeUnwrapErr().kind, "unknown-kind");
  t.is(rubbish._unsafeUnwrapErr().kind, "malformed");
  t.is(codec.decode(new Uint8Array([0xc1, 1])).isErr(), true);
});

test("a frame above the bound is neither sent nor taken", (t) => {
  const codec = new PeerCodec();
  const body = { text: "x".repeat(MAX_FRAME_BYTES) };
  const sent = codec.encode({ kind: GREETING.kind, body });
  t.is(sent._unsafeUnwrapErr().kind, "too-large");
  const taken = codec.decode(pack([GREETING.kind, body]));
  t.is(taken._unsafeUnwrapErr().kind, "too-large");
});

test("the memory network delays, doubles, cuts and heals", (t) => {
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

test("a paused host gets its messages when it wakes", (t) => {
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
