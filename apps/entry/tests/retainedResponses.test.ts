import { Buffer } from "node:buffer";
import test from "ava";
import { asId, type RequestId } from "@wasabivane/common";
import { BufferedResponse, RetainedResponses } from "@wasabivane/entry";

function answerOf(bytes: number): BufferedResponse {
  const record = new BufferedResponse({ isReplayable: true });
  record.append(Buffer.alloc(bytes));
  return record;
}

test("ended answers leave oldest first, running ones stay", (t) => {
  const kept = new RetainedResponses(20_000);
  const names = ["r1", "r2", "r3"].map((name) => asId<RequestId>(name));
  for (const name of names) kept.add(name, answerOf(7_000));
  kept.recordEnd(names[0]!);
  kept.recordEnd(names[1]!);
  t.truthy(kept.find(names[0]!));
  kept.recordEnd(names[2]!);
  t.deepEqual(names.map((name) => kept.find(name) !== undefined), [
    false,
    true,
    true,
  ]);
});
