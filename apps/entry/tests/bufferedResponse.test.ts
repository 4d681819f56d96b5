import { Buffer } from "node:buffer";
import test from "ava";
import { BufferedResponse, problemOf } from "@wasabivane/entry";

const HEAD = { status: 200, headers: {} };

function bytesOf(text: string): Buffer {
  return Buffer.from(text);
}

test("a second reader of a replayable response starts at the first byte", (t) => {
  const response = new BufferedResponse({ isReplayable: true });
  response.writeHead(HEAD);
  response.append(bytesOf("one"));
  const first = response.openReader()!;
  first.poll();
  first.poll();
  response.append(bytesOf("two"));
  response.finish({ kind: "whole" });
  const second = response.openReader()!;
  const kinds = [second.poll(), second.poll(), second.poll(), second.poll()];
  t.deepEqual(kinds.map((item) => item?.kind), ["head", "part", "part", "end"]);
});

// Guards against buffering a response without limit for a slow caller.
test("a slow reader makes the writer wait", async (t) => {
  const response = new BufferedResponse({ highWaterBytes: 4 });
  const reader = response.openReader()!;
  response.writeHead(HEAD);
  response.append(bytesOf("12345"));
  t.true(response.isFull);
  const room = response.whenWritable();
  reader.poll();
  reader.poll();
  await room;
  t.false(response.isFull);
});

test("a closed reader no longer blocks the writer", async (t) => {
  const response = new BufferedResponse({ highWaterBytes: 4 });
  const reader = response.openReader()!;
  response.append(bytesOf("12345"));
  const room = response.whenWritable();
  reader.close();
  await room;
  t.pass();
});

test("a response above the replay limit cannot be replayed but is read completely", (t) => {
  const response = new BufferedResponse({
    isReplayable: true,
    maximumReplayBytes: 4,
  });
  const reader = response.openReader()!;
  response.writeHead(HEAD);
  const seen: string[] = [];
  for (const text of ["abc", "def", "ghi"]) {
    response.append(bytesOf(text));
    for (let item = reader.poll(); item !== undefined; item = reader.poll()) {
      if (item.kind === "part") seen.push(Buffer.from(item.part).toString());
    }
  }
  t.deepEqual(seen, ["abc", "def", "ghi"]);
  t.is(response.openReader(), undefined);
});

test("nothing is read after the first end", (t) => {
  const response = new BufferedResponse();
  const reader = response.openReader()!;
  response.finish({ kind: "failed", problem: problemOf("answer-late") });
  response.append(bytesOf("late"));
  response.finish({ kind: "whole" });
  const item = reader.poll();
  t.is(item?.kind === "end" ? item.end.kind : undefined, "failed");
});
