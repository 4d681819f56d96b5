import type { AttemptOutcome } from "@wasabivane/decisions";
import type { ResponseEnd } from "./bufferedResponse.ts";
import { type Problem, problemOf } from "./problem.ts";
import type { UpstreamError } from "./upstreamError.ts";

/** Whether a response ended with the statement that the request has not run. */
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

/** Returns the outcome of a failed attempt that the coordinator is told. */
export function attemptOutcomeOf(
  { kind }: UpstreamError,
  { isPastDeadline }: { isPastDeadline: boolean },
): AttemptOutcome {
  return OUTCOMES[kind](isPastDeadline);
}

/**
 * Returns the end with the ending "unknown", unless the response is complete.
 */
export function withUnknownEnding(end: ResponseEnd): ResponseEnd {
  if (end.kind === "whole") return end;
  return { kind: "failed", problem: { ...end.problem, ending: "unknown" } };
}

/** Returns the problem that reports an upstream error to the caller. */
export function problemOfError(error: UpstreamError): Problem {
  if (error.kind === "not-own") return problemOf("answer-not-own");
  if (error.kind === "refused-run") {
    return problemOf("upstream-refused", { detail: error.detail });
  }
  const detail = "detail" in error ? { detail: error.detail } : {};
  return problemOf("answer-broken", detail);
}
