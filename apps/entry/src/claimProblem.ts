import { type ClaimOutcome, RELEASE_GRACE_MS } from "@wasabivane/coordination";
import { type Problem, type ProblemName, problemOf } from "./problem.ts";

const RETRY_AFTER_MS = 1_000;

/** A claim's outcome that leaves nothing to run, join or resume. */
export type FailedClaim = ClaimOutcome & {
  kind: "mismatch" | "unknown" | "not-run";
};

const NOT_RUN: Record<string, ProblemName> = {
  "malformed": "key-malformed",
  "issued-in-future": "key-in-future",
  "full": "key-table-full",
  "released": "key-released",
};

const UNKNOWN: Record<string, ProblemName> = {
  "unreachable": "key-home-unreachable",
  "home-inactive": "key-home-unreachable",
  "expired": "key-expired",
};

/** The problem that tells a caller why its key cannot be used now. */
export function problemOfClaim(
  outcome: FailedClaim,
): Problem {
  if (outcome.kind === "mismatch") return problemOf("key-mismatch");
  if (outcome.kind === "not-run") {
    const name = NOT_RUN[outcome.reason] ?? "key-unknown";
    const isPassing = outcome.reason === "released" ||
      outcome.reason === "full";
    return problemOf(name, isPassing ? { retryAfter: RELEASE_GRACE_MS } : {});
  }
  const name = UNKNOWN[outcome.reason] ?? "key-unknown";
  const details = { detail: outcome.reason };
  return problemOf(
    name,
    name === "key-home-unreachable"
      ? { ...details, retryAfter: RETRY_AFTER_MS }
      : details,
  );
}
