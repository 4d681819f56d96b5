import { Buffer } from "node:buffer";
import test from "ava";
import { asId, type RequestId } from "@wasabivane/common";
import { BufferedResponse, RetainedResponses } from "@wasabivane/entry";

function createResponse(bytes: number): BufferedResponse {
  const response = new BufferedResponse({ isReplayable: true });
  response.append(Buffer.alloc(bytes));
  return response;
}

test("ended responses above the memory limit are evicted oldest first; running ones do not count", (t) => {
  const retained = new RetainedResponses(20_000);
  const requestIds = ["r1", "r2", "r3"].map((id) => asId<RequestId>(id));
  for (const id of requestIds) retained.add(id, createResponse(7_000));
  retained.recordEnd(requestIds[0]!);
  retained.recordEnd(requestIds[1]!);
  t.truthy(retained.find(requestIds[0]!));
  retained.recordEnd(requestIds[2]!);
  t.deepEqual(requestIds.map((id) => retained.find(id) !== undefined), [
    false,
    true,
    true,
  ]);
});
