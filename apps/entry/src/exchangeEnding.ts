import type { AttemptOutcome } from "@wasabivane/decisions";
import type { ResponseEnd } from "./bufferedResponse.ts";
import { type Problem, problemOf } from "./problem.ts";
import type { UpstreamError } from "./upstreamError.ts";

/** Whether an ending says that the request has not run. */
export function isNotRun(end: ResponseEnd): boolean {
  return end.kind === "failed" && end.problem.ending === "not-run";
}

const OUTCOMES: Record<
  UpstreamError["kind"],
  (isPastDeadline: boolean) => AttemptOutcome
> = {
  "refused": () => "upstream-refused",
  "broken": () => "upstream-lost",
  "not-own": () => "upstream-error",
  "malformed": () => "upstream-error",
  "refused-run": () => "upstream-error",
  "gone": () => "upstream-lost",
  "aborted": (isPastDeadline) => isPastDeadline ? "timeout" : "cancelled",
};

/** What the keeper is told of an attempt that failed. */
export function attemptOutcomeOf(
  { kind }: UpstreamError,
  { isPastDeadline }: { isPastDeadline: boolean },
): AttemptOutcome {
  return OUTCOMES[kind](isPastDeadline);
}

/** The same ending for a request of which an earlier sending may have run. */
export function withUnknownEnding(end: ResponseEnd): ResponseEnd {
  if (end.kind === "whole") return end;
  return { kind: "failed", problem: { ...end.problem, ending: "unknown" } };
}

/** The problem that tells a caller why its answer is not whole. */
export function problemOfError(error: UpstreamError): Problem {
  if (error.kind === "not-own") return problemOf("answer-not-own");
  if (error.kind === "refused-run") {
    return problemOf("upstream-refused", { detail: error.detail });
  }
  const detail = "detail" in error ? { detail: error.detail } : {};
  return problemOf("answer-broken", detail);
}
