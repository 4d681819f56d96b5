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

interface Run {
  entries: FakeEntry[];
  report: LoadReport;
  tier: TierReport;
}

/** Sends a short run to entries that behave so. */
async function loadEntries(
  t: ExecutionContext,
  { behaviours, plainShare = 0, wholeShare = 0 }: {
    behaviours: EntryBehavior[];
    plainShare?: number;
    wholeShare?: number;
  },
): Promise<Run> {
  const entries = behaviours.map((behaviour) => new FakeEntry(behaviour));
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

test("whole answers of every kind are counted, round robin over the entries", async (t) => {
  const { entries, report, tier } = await loadEntries(t, {
    behaviours: [respondCompletely, respondCompletely],
    plainShare: 0.3,
    wholeShare: 0.5,
  });
  t.true(report.offered > 5);
  t.is(tier.whole, report.offered);
  t.is(tier.wholeMs.count, report.offered);
  t.true(tier.firstTokenMs.count > 0);
  const [first, second] = entries.map(({ received: seen }) => seen.length);
  t.true(Math.abs(first! - second!) <= 1);
  t.like(entries[0]!.received[0]!.headers, {
    "authorization": "Bearer secret",
    "x-tier": "2",
    "x-deadline-ms": "5000",
  });
});

// An entry must never let a part pass for the whole, nor give a caller what
// belongs to another. The tool has to see both, or no run proves anything.
test("cut and crossed answers are seen", async (t) => {
  const cut = await loadEntries(t, { behaviours: [respondWithoutEndMark] });
  t.is(cut.tier.cut, cut.report.offered);
  const crossed = await loadEntries(t, { behaviours: [respondToOtherPrompt] });
  t.is(crossed.tier.crossed, crossed.report.offered);
  const wholeCrossed = await loadEntries(t, {
    behaviours: [respondToOtherPrompt],
    wholeShare: 1,
  });
  t.is(wholeCrossed.tier.crossed, wholeCrossed.report.offered);
});

test("refusals and broken answers are counted by what they say", async (t) => {
  const refused = await loadEntries(t, { behaviours: [refuseRequest] });
  t.deepEqual(refused.tier.notRun, { shed: refused.report.offered });
  const broken = await loadEntries(t, { behaviours: [respondWithErrorEvent] });
  t.deepEqual(broken.tier.unknown, { "answer-broken": broken.report.offered });
});

// The first entry dies under the caller, who sends the same call through the
// next one; its key must be the same, and repeated tokens are not measured twice.
test("a broken connection is resent through another entry with the same key", async (t) => {
  const { entries, report, tier } = await loadEntries(t, {
    behaviours: [breakConnection, respondCompletely],
  });
  t.is(tier.whole, report.offered);
  t.true(report.resends > 0);
  t.is(tier.firstTokenMs.count, report.offered);
  const keys = entries.map(({ received: seen }) =>
    new Set(seen.map(({ headers }) => headers["idempotency-key"]))
  );
  t.true([...keys[0]!].every((key) => keys[1]!.has(key)));
});

test("a call that stays broken ends unknown", async (t) => {
  const { report, tier } = await loadEntries(t, {
    behaviours: [breakConnection],
  });
  t.deepEqual(tier.unknown, { "connection-broken": report.offered });
});
