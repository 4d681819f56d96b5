import test from "ava";
import { VirtualTimer } from "@wasabivane/common";
import {
  formatLoadReport,
  ProgressLine,
  readLoadSettings,
  resolveLoadOptions,
} from "@wasabivane/load";

test("flags and an example deployment give complete options", (t) => {
  const settings = readLoadSettings({
    entry: "http://127.0.0.1:9001",
    deployment: "cairo",
    pattern: "burst",
    rate: 50,
    duration: 3,
  })._unsafeUnwrap();
  const options = resolveLoadOptions(settings)._unsafeUnwrap();
  t.like(options, {
    pattern: "burst",
    durationMs: 3_000,
    requestsPerSecond: 50,
    targets: { models: ["press-advisor"], plainPaths: ["/field-desk"] },
  });
  t.is(options.callers.length, 5);
});

test("a wrong flag is reported with the allowed values, a missing one by name", (t) => {
  const [error] = readLoadSettings({ pattern: "burts" })._unsafeUnwrapErr();
  t.like(error, { file: "command line", path: "pattern" });
  t.regex(error!.allowed, /did you mean "burst"/);
  const empty = readLoadSettings({})._unsafeUnwrap();
  t.is(
    resolveLoadOptions(empty)._unsafeUnwrapErr().detail,
    "Name an entry's url",
  );
});

test("the table has a row for each tier, followed by the problem types", (t) => {
  const times = { count: 1, p50: 1, p95: 2, p99: 3, maximum: 3 };
  const lines = formatLoadReport({
    pattern: "steady",
    seed: 1,
    elapsedMs: 2_000,
    offered: 5,
    resends: 1,
    tiers: {
      "1": {
        offered: 5,
        whole: 2,
        notRun: { shed: 2 },
        unknown: { "answer-broken": 1 },
        cut: 0,
        crossed: 0,
        firstTokenMs: times,
        betweenTokensMs: times,
        wholeMs: { ...times, count: 0 },
      },
    },
  });
  t.is(lines.length, 4);
  t.regex(lines[2]!, /^ +1 +5 +2 +2 +1 +0 +0 .* -$/);
  t.is(lines[3], "tier 1: shed 2 (not run), answer-broken 1 (unknown)");
});

test("progress is shown after a delay and at a limited rate", (t) => {
  const timer = new VirtualTimer();
  const written: string[] = [];
  const line = new ProgressLine({ timer, write: (text) => written.push(text) });
  for (let ended = 0; ended < 30; ended++) {
    line.show({ planned: 30, sent: ended, ended });
    timer.advance(100);
  }
  t.is(written.length, 5);
});
