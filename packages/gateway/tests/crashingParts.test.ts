import test from "ava";
import { BAD_PART } from "./helpers/restartingUpstream.ts";
import { runPartTraffic } from "./helpers/partTraffic.ts";

/** Requests that may still arrive at upstreams. */
const TOLERATED_ARRIVALS = 3;
/** Share of the sound requests, of those served without the bad part. */
const LEAST_SERVED = 0.5;

test.serial("a part of prompts that crashes upstreams is sent to few of them", async (t) => {
  // Guards against requests that are never alike but for the part that crashes
  // each upstream, so that none of them is known from an earlier crash.
  const report = await runPartTraffic(t);
  const { lateArrivals, servedBefore, servedAfter } = report;
  t.log(report);
  t.true(lateArrivals <= TOLERATED_ARRIVALS, `${lateArrivals} arrivals`);
  t.true(servedAfter >= LEAST_SERVED * servedBefore, `${servedAfter} served`);
});

test.serial("a part is found though each request has others beside it", async (t) => {
  // Guards against the company of the part that is refused in its place, and
  // responses that seem complete although they end with their upstream.
  const report = await runPartTraffic(t, {
    isUnframed: true,
    crashesAfterEnd: 100,
    badParts: (index) => ["all", `document-${index % 6}`, BAD_PART],
  });
  const { lateArrivals, servedBefore, servedAfter } = report;
  t.log(report);
  t.true(lateArrivals <= TOLERATED_ARRIVALS, `${lateArrivals} arrivals`);
  t.true(servedAfter >= LEAST_SERVED * servedBefore, `${servedAfter} served`);
});

test.serial("outages without a part that crashes upstreams convict nothing", async (t) => {
  // Guards against sound requests that are refused as all share a part.
  const report = await runPartTraffic(t, {
    badPerSecond: 0,
    runTime: 400,
    outage: { share: 0.25, interval: 900 },
  });
  t.log(report);
  t.is(report.soundConvicted, 0);
});
