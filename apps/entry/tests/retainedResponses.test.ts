import { Buffer } from "node:buffer";
import test from "ava";
import { asId, type RequestId } from "@wasabivane/common";
import { BufferedResponse, RetainedResponses } from "@wasabivane/entry";

function createResponse(bytes: number): BufferedResponse {
  const response = new BufferedResponse({ isReplayable: true });
  response.append(Buffer.alloc(bytes));
  return response;
}

test("ended responses are evicted oldest first and running ones stay", (t) => {
  const retained = new RetainedResponses(20_000);
  const names = ["r1", "r2", "r3"].map((name) => asId<RequestId>(name));
  for (const name of names) retained.add(name, createResponse(7_000));
  retained.recordEnd(names[0]!);
  retained.recordEnd(names[1]!);
  t.truthy(retained.find(names[0]!));
  retained.recordEnd(names[2]!);
  t.deepEqual(names.map((name) => retained.find(name) !== undefined), [
    false,
    true,
    true,
  ]);
});
