import { Buffer } from "node:buffer";
import test from "ava";
import { asId, type RequestId } from "@wasabivane/common";
import { AnswerRecord, KeptAnswers } from "@wasabivane/entry";

function answerOf(bytes: number): AnswerRecord {
  const record = new AnswerRecord({ isReplayable: true });
  record.append(Buffer.alloc(bytes));
  return record;
}

test("ended answers leave oldest first, running ones stay", (t) => {
  const kept = new KeptAnswers(20_000);
  const names = ["r1", "r2", "r3"].map((name) => asId<RequestId>(name));
  for (const name of names) kept.keep(name, answerOf(7_000));
  kept.noteEnd(names[0]!);
  kept.noteEnd(names[1]!);
  t.truthy(kept.find(names[0]!));
  kept.noteEnd(names[2]!);
  t.deepEqual(names.map((name) => kept.find(name) !== undefined), [
    false,
    true,
    true,
  ]);
});
