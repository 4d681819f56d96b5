import test from "ava";
import type { LogLine } from "@wasabivane/ctl";
import {
  analyzeServiceUsage,
  type LoggedRequest,
  readLoggedRequests,
} from "@wasabivane/proof";

function createLine(
  event: LogLine["event"],
  time: number,
  values: Record<string, unknown>,
): LogLine {
  return { time, host: "h", event, values };
}

const SENT = {
  service: "plans",
  tier: 1,
  target: 500,
  pauseTarget: 200,
  upstream: "u0",
  slots: 2,
  waited: 100,
};

test("requests are reconstructed from logs with their outcomes", (t) => {
  const ended = {
    ending: "whole",
    first: 300,
    pause: 50,
    took: 800,
    parts: 11,
  };
  const requestsByService = readLoggedRequests([
    createLine("request_sent", 1_000, { ...SENT, id: "a" }),
    createLine("request_sent", 1_000, { ...SENT, id: "b" }),
    createLine("request_sent", 1_000, { ...SENT, id: "c" }),
    createLine("request_ended", 1_700, { ...ended, id: "a" }),
    createLine("request_ended", 1_700, { ...ended, id: "b", pause: 300 }),
    createLine("request_ended", 1_700, { ...ended, id: "c", ending: "cut" }),
    createLine("request_refused", 2_000, { id: "d", reason: "no-route" }),
    createLine("request_refused", 2_000, {
      id: "e",
      service: "plans",
      tier: 2,
      target: 500,
      hold: 900,
      held: 400,
    }),
  ]);
  const requests = requestsByService.get("plans")!;
  t.deepEqual(requests.map(({ outcome }) => outcome), [
    "on time",
    "late by a pause",
    "broken off",
    "refused",
  ]);
  t.like(requests[0], { at: 900, held: 700, pace: 50 });
  t.like(requests[3], { at: 1_600, held: 900, tier: 2 });
});

function request(changes: Partial<LoggedRequest>): LoggedRequest {
  return {
    tier: 1,
    at: 0,
    target: 500,
    upstream: "u0",
    slots: 1,
    held: 1_000,
    pace: 10,
    outcome: "on time",
    ...changes,
  };
}

test("the on-time bound is limited by slot time, with higher tiers first", (t) => {
  // One slot has time for two of the three one-second requests at the start: both
  // of tier 1 fit, the one of tier 2 does not.
  const requests = [
    request({}),
    request({}),
    request({ tier: 2 }),
    request({ tier: 2, at: 3_000 }),
  ];
  const { tiers, used } = analyzeServiceUsage(requests);
  t.is(used, 4_000);
  t.deepEqual(tiers.map(({ tier, bound }) => [tier, Math.round(bound)]), [
    [1, 2],
    [2, 1],
  ]);
});

test("slot time at a slow upstream is scaled down", (t) => {
  const { capacity, used } = analyzeServiceUsage([
    request({}),
    request({ upstream: "u1", held: 4_000, pace: 40 }),
  ]);
  t.is(capacity, 2_000);
  t.is(used, 2_000);
});
