import type { Milliseconds, RequestOutcome } from "@wasabivane/common";
import type { RefusalReason } from "@wasabivane/decisions";

interface ProblemKind {
  readonly status: number;
  readonly title: string;
  readonly ending: RequestOutcome;
}

/**
 * All problems that are reported to callers. The ending `not-run` requires that
 * nothing was sent to an upstream for the request or its idempotency key, and
 * that nothing can be sent later.
 */
export const PROBLEMS = {
  "malformed-request": {
    status: 400,
    title: "The request is malformed",
    ending: "not-run",
  },
  "unauthenticated": {
    status: 401,
    title: "The API key is missing or unknown",
    ending: "not-run",
  },
  "tier-not-allowed": {
    status: 403,
    title: "The account may not use this tier",
    ending: "not-run",
  },
  "service-not-allowed": {
    status: 403,
    title: "The account may not use this service",
    ending: "not-run",
  },
  "unknown-model": {
    status: 404,
    title: "No service has this model",
    ending: "not-run",
  },
  "unknown-path": {
    status: 404,
    title: "No service has this path",
    ending: "not-run",
  },
  "unknown-job": {
    status: 404,
    title: "The account has no such job",
    ending: "unknown",
  },
  "headers-too-large": {
    status: 431,
    title: "The headers are too large",
    ending: "not-run",
  },
  "request-timeout": {
    status: 408,
    title: "The request did not arrive in time",
    ending: "not-run",
  },
  "too-many-connections": {
    status: 503,
    title: "This host has too many connections",
    ending: "not-run",
  },
  "internal": {
    status: 500,
    title: "This host failed",
    ending: "unknown",
  },
  "body-too-large": {
    status: 413,
    title: "The body is too large",
    ending: "not-run",
  },
  "key-malformed": {
    status: 400,
    title: "The idempotency key is neither a ticket nor a UUIDv7",
    ending: "not-run",
  },
  "key-in-future": {
    status: 400,
    title: "The idempotency key was issued in the future",
    ending: "not-run",
  },
  "key-expired": {
    status: 409,
    title: "The idempotency key has expired",
    ending: "unknown",
  },
  "key-mismatch": {
    status: 422,
    title: "The idempotency key belongs to another body",
    ending: "unknown",
  },
  "key-unknown": {
    status: 409,
    title: "An earlier attempt with this key may have run",
    ending: "unknown",
  },
  "key-home-unreachable": {
    status: 503,
    title: "The host that knows this key does not answer",
    ending: "unknown",
  },
  "key-released": {
    status: 503,
    title: "An earlier attempt with this key was refused a moment ago",
    ending: "not-run",
  },
  "key-table-full": {
    status: 503,
    title: "Too many idempotency keys are in use",
    ending: "not-run",
  },
  "deadline-unreachable": {
    status: 503,
    title: "The deadline cannot be met",
    ending: "not-run",
  },
  "deadline-passed": {
    status: 504,
    title: "The deadline passed before the request started",
    ending: "not-run",
  },
  "shed": {
    status: 503,
    title: "The request gave way to more urgent work",
    ending: "not-run",
  },
  "account-limit": {
    status: 429,
    title: "The account is over its limit",
    ending: "not-run",
  },
  "no-upstream": {
    status: 503,
    title: "No upstream can take the request",
    ending: "not-run",
  },
  "convicted": {
    status: 422,
    title: "This request has stopped the upstreams that ran it",
    ending: "not-run",
  },
  "stopping": {
    status: 503,
    title: "This host is stopping",
    ending: "not-run",
  },
  "not-ready": {
    status: 503,
    title: "This host has no bundle in force yet",
    ending: "not-run",
  },
  "job-refused": {
    status: 503,
    title: "The job cannot be kept safely now",
    ending: "not-run",
  },
  "job-unconfirmed": {
    status: 503,
    title: "The copies did not confirm the job in time",
    ending: "unknown",
  },
  "upstream-refused": {
    status: 502,
    title: "The upstream took the request and refused to run it",
    ending: "unknown",
  },
  "job-stranded": {
    status: 503,
    title: "Too few of the job's copies are left to run it",
    ending: "not-run",
  },
  "answer-broken": {
    status: 502,
    title: "The upstream broke off its answer",
    ending: "unknown",
  },
  "answer-not-own": {
    status: 502,
    title: "The upstream answered something else",
    ending: "unknown",
  },
  "answer-late": {
    status: 504,
    title: "The answer did not arrive by the deadline",
    ending: "unknown",
  },
  "answer-gone": {
    status: 410,
    title: "The answer is no longer kept",
    ending: "unknown",
  },
} as const satisfies Record<string, ProblemKind>;

/** Name of a problem, which is the last segment of its `type`. */
export type ProblemName = keyof typeof PROBLEMS;

/** Details of one occurrence of a problem. */
export interface ProblemDetails {
  readonly detail?: string;
  readonly retryAfter?: Milliseconds;
}

/** A problem with which a request ends. */
export interface Problem extends ProblemDetails {
  readonly name: ProblemName;
  /** The ending of {@link PROBLEMS}, or `unknown`. */
  readonly ending: RequestOutcome;
}

/** Creates a problem with the default ending of its name. */
export function problemOf(
  name: ProblemName,
  details: ProblemDetails = {},
): Problem {
  return { name, ending: PROBLEMS[name].ending, ...details };
}

/** Creates the problem that reports a scheduler's refusal to the caller. */
export function problemOfRefusal(
  reason: RefusalReason,
  retryAfter: Milliseconds,
): Problem {
  return problemOf(reason, { retryAfter });
}

/** Returns the RFC 9457 document of a problem. */
export function problemDocument(problem: Problem): Record<string, unknown> {
  const { status, title } = PROBLEMS[problem.name];
  return {
    type: `urn:wasabivane:problem:${problem.name}`,
    title,
    status,
    ending: problem.ending,
    ...(problem.detail === undefined ? {} : { detail: problem.detail }),
    ...(problem.retryAfter === undefined
      ? {}
      : { retryAfterMs: Math.ceil(problem.retryAfter) }),
  };
}

/** Returns the response headers of a problem. */
export function problemHeaders(problem: Problem): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
  };
  if (problem.name === "unauthenticated") {
    headers["www-authenticate"] = "Bearer";
  }
  if (problem.retryAfter !== undefined) {
    headers["retry-after"] = String(Math.ceil(problem.retryAfter / 1000));
  }
  return headers;
}
