import test from "ava";
import { result as limit } from "../../../examples/accountLimits.ts";
import { result as holders } from "../../../examples/prefixCacheIndex.ts";
import { result as ejected } from "../../../examples/outlierDetector.ts";
import { result as length } from "../../../examples/outputLengthEstimator.ts";
import { result as paceLimit } from "../../../examples/paceAllocator.ts";
import { result as routeMs } from "../../../examples/routeEstimate.ts";
import { result as decodeMs } from "../../../examples/speedEstimator.ts";
import { result as statuses } from "../../../examples/poisonRequestDetector.ts";
import { result as concurrencyLimit } from "../../../examples/adaptiveConcurrencyLimit.ts";
import { result as first } from "../../../examples/waitQueue.ts";

test("each example gives its documented result", (t) => {
  t.is(first as string, "live draft");
  t.deepEqual(limit, { kind: "over", limit: "requests", retryAfter: 750 });
  t.true(concurrencyLimit < 8);
  t.true(length >= 430 && length <= 560);
  t.is(decodeMs, 12);
  t.is(routeMs, 1_040);
  t.deepEqual(holders as unknown, [{ upstream: "u1", blocks: 2 }]);
  t.deepEqual(ejected, [true, true, false]);
  t.deepEqual(statuses, ["convicted", "clean"]);
  t.true(paceLimit < 60);
});
