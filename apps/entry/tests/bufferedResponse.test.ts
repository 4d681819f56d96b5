import { Buffer } from "node:buffer";
import test from "ava";
import { BufferedResponse, problemOf } from "@wasabivane/entry";

const HEAD = { status: 200, headers: {} };

function partOf(text: string): Buffer {
  return Buffer.from(text);
}

test("a second reader of a replayable answer gets it from the first byte", (t) => {
  const record = new BufferedResponse({ isReplayable: true });
  record.writeHead(HEAD);
  record.append(partOf("one"));
  const first = record.openReader()!;
  first.poll();
  first.poll();
  record.append(partOf("two"));
  record.finish({ kind: "whole" });
  const second = record.openReader()!;
  const kinds = [second.poll(), second.poll(), second.poll(), second.poll()];
  t.deepEqual(kinds.map((step) => step?.kind), ["head", "part", "part", "end"]);
});

// The caller reads slowly while the upstream is fast. Without a bound the host
// would hold the rest of every answer in memory; the writer is told to wait
// until the slowest reader has caught up.
test("a slow reader makes the writer wait", async (t) => {
  const record = new BufferedResponse({ highWaterBytes: 4 });
  const reader = record.openReader()!;
  record.writeHead(HEAD);
  record.append(partOf("12345"));
  t.true(record.isFull);
  const room = record.whenWritable();
  reader.poll();
  reader.poll();
  await room;
  t.false(record.isFull);
});

test("a reader that leaves no longer holds the writer up", async (t) => {
  const record = new BufferedResponse({ highWaterBytes: 4 });
  const reader = record.openReader()!;
  record.append(partOf("12345"));
  const room = record.whenWritable();
  reader.close();
  await room;
  t.pass();
});

test("an answer too large to keep cannot be replayed, and its reader still gets all of it", (t) => {
  const record = new BufferedResponse({
    isReplayable: true,
    maximumReplayBytes: 4,
  });
  const reader = record.openReader()!;
  record.writeHead(HEAD);
  const seen: string[] = [];
  for (const text of ["abc", "def", "ghi"]) {
    record.append(partOf(text));
    for (let step = reader.poll(); step !== undefined; step = reader.poll()) {
      if (step.kind === "part") seen.push(Buffer.from(step.part).toString());
    }
  }
  t.deepEqual(seen, ["abc", "def", "ghi"]);
  t.is(record.openReader(), undefined);
});

test("nothing follows the first end", (t) => {
  const record = new BufferedResponse();
  const reader = record.openReader()!;
  record.finish({ kind: "failed", problem: problemOf("answer-late") });
  record.append(partOf("late"));
  record.finish({ kind: "whole" });
  const step = reader.poll();
  t.is(step?.kind === "end" ? step.end.kind : undefined, "failed");
});
