import test, { type ExecutionContext } from "ava";
import { asTier } from "@wasabivane/common";
import { type LoadReport, runLoad, type TierReport } from "@wasabivane/load";
import {
  breakConnection,
  type EntryBehavior,
  FakeEntry,
  refuseRequest,
  respondCompletely,
  respondToOtherPrompt,
  respondWithErrorEvent,
  respondWithoutEndMark,
} from "./helpers/fakeEntry.ts";

interface LoadResult {
  entries: FakeEntry[];
  report: LoadReport;
  tier: TierReport;
}

/** Runs a short load against fake entries with the given behaviors. */
async function loadEntries(
  t: ExecutionContext,
  { behaviors, plainShare = 0, wholeShare = 0 }: {
    behaviors: EntryBehavior[];
    plainShare?: number;
    wholeShare?: number;
  },
): Promise<LoadResult> {
  const entries = behaviors.map((behavior) => new FakeEntry(behavior));
  t.teardown(() => entries.forEach((entry) => entry.stop()));
  const report = await runLoad({
    entries: await Promise.all(entries.map((entry) => entry.start())),
    targets: { models: ["drafter"], plainPaths: ["/casefile"] },
    callers: [{ account: "firm", apiKey: "secret", tiers: [asTier(2)] }],
    pattern: "steady",
    seed: 5,
    durationMs: 200,
    requestsPerSecond: 100,
    plainShare,
    wholeShare,
    deadlineMs: 5_000,
  });
  return { entries, report, tier: report.tiers["2"]! };
}

test("complete responses of every kind are counted, round robin over the entries", async (t) => {
  const { entries, report, tier } = await loadEntries(t, {
    behaviors: [respondCompletely, respondCompletely],
    plainShare: 0.3,
    wholeShare: 0.5,
  });
  t.true(report.offered > 5);
  t.is(tier.whole, report.offered);
  t.is(tier.wholeMs.count, report.offered);
  t.true(tier.firstTokenMs.count > 0);
  const [first, second] = entries.map(({ received }) => received.length);
  t.true(Math.abs(first! - second!) <= 1);
  t.like(entries[0]!.received[0]!.headers, {
    "authorization": "Bearer secret",
    "x-tier": "2",
    "x-deadline-ms": "5000",
  });
});

// Guards against a load tool that reports a faulty gateway as correct.
test("cut and crossed responses are detected", async (t) => {
  const cut = await loadEntries(t, { behaviors: [respondWithoutEndMark] });
  t.is(cut.tier.cut, cut.report.offered);
  const crossed = await loadEntries(t, { behaviors: [respondToOtherPrompt] });
  t.is(crossed.tier.crossed, crossed.report.offered);
  const wholeCrossed = await loadEntries(t, {
    behaviors: [respondToOtherPrompt],
    wholeShare: 1,
  });
  t.is(wholeCrossed.tier.crossed, wholeCrossed.report.offered);
});

test("refusals and error events are counted by problem type", async (t) => {
  const refused = await loadEntries(t, { behaviors: [refuseRequest] });
  t.deepEqual(refused.tier.notRun, { shed: refused.report.offered });
  const broken = await loadEntries(t, { behaviors: [respondWithErrorEvent] });
  t.deepEqual(broken.tier.unknown, { "answer-broken": broken.report.offered });
});

// Guards against a resend under another key, and against measuring repeated
// tokens twice.
test("a broken connection is resent through another entry with the same key", async (t) => {
  const { entries, report, tier } = await loadEntries(t, {
    behaviors: [breakConnection, respondCompletely],
  });
  t.is(tier.whole, report.offered);
  t.true(report.resends > 0);
  t.is(tier.firstTokenMs.count, report.offered);
  const keys = entries.map(({ received }) =>
    new Set(received.map(({ headers }) => headers["idempotency-key"]))
  );
  t.true([...keys[0]!].every((key) => keys[1]!.has(key)));
});

test("a call whose resends all break has an unknown outcome", async (t) => {
  const { report, tier } = await loadEntries(t, {
    behaviors: [breakConnection],
  });
  t.deepEqual(tier.unknown, { "connection-broken": report.offered });
});
