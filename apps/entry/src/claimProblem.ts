import { type ClaimOutcome, RELEASE_GRACE_MS } from "@wasabivane/coordination";
import { type Problem, type ProblemName, problemOf } from "./problem.ts";

const RETRY_AFTER_MS = 1_000;

/** An outcome of a claim after which nothing can be run, joined or resumed. */
export type FailedClaim = ClaimOutcome & {
  kind: "mismatch" | "unknown" | "not-run";
};

const NOT_RUN_PROBLEMS: Record<string, ProblemName> = {
  "malformed": "key-malformed",
  "issued-in-future": "key-in-future",
  "full": "key-table-full",
  "released": "key-released",
};

const UNKNOWN_OUTCOME_PROBLEMS: Record<string, ProblemName> = {
  "unreachable": "key-home-unreachable",
  "home-inactive": "key-home-unreachable",
  "expired": "key-expired",
};

/** Returns the problem that reports a failed claim to the caller. */
export function problemOfClaim(
  outcome: FailedClaim,
): Problem {
  if (outcome.kind === "mismatch") return problemOf("key-mismatch");
  if (outcome.kind === "not-run") {
    const name = NOT_RUN_PROBLEMS[outcome.reason] ?? "key-unknown";
    const isTransient = outcome.reason === "released" ||
      outcome.reason === "full";
    return problemOf(name, isTransient ? { retryAfter: RELEASE_GRACE_MS } : {});
  }
  const name = UNKNOWN_OUTCOME_PROBLEMS[outcome.reason] ?? "key-unknown";
  const details = { detail: outcome.reason };
  return problemOf(
    name,
    name === "key-home-unreachable"
      ? { ...details, retryAfter: RETRY_AFTER_MS }
      : details,
  );
}
