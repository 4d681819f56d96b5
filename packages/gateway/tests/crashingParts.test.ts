import test from "ava";
import { runPartTraffic } from "./helpers/partTraffic.ts";

/** Requests that may still arrive at upstreams. */
const TOLERATED_ARRIVALS = 3;
/** Share of the sound requests, of those served without the bad part. */
const LEAST_SERVED = 0.5;

test.failing(
  "a part of prompts that crashes upstreams is sent to few of them",
  async (t) => {
    // Guards against requests that are never alike but for the part that crashes
    // each upstream, so that none of them is known from an earlier crash.
    const report = await runPartTraffic(t);
    const { lateArrivals, servedBefore, servedAfter } = report;
    t.log(report);
    t.true(lateArrivals <= TOLERATED_ARRIVALS, `${lateArrivals} arrivals`);
    t.true(servedAfter >= LEAST_SERVED * servedBefore, `${servedAfter} served`);
  },
);
