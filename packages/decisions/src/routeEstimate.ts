import type { Milliseconds } from "@wasabivane/common";
import { decodeTimeAt } from "./paceAllocator.ts";
import type { TokenTimes } from "./speedEstimator.ts";
import type {
  LoadReport,
  PlacementRequest,
  UpstreamDescription,
} from "./types.ts";

/** An upstream that a request may go to, as seen now. */
export interface RouteCandidate {
  readonly description: UpstreamDescription;
  readonly times: TokenTimes;
  readonly inFlightRequests: number;
  /** Requests that will be in flight while this one runs, itself included. */
  readonly expectedInFlight: number;
  readonly prefillBacklogTokens: number;
  readonly cachedTokens: number;
  readonly report: LoadReport | undefined;
}

/** What is known of the request. */
export interface RouteQuery {
  readonly placementRequest: PlacementRequest;
  readonly meanOutputTokens: number;
  /** The chance that the answer has at most so many tokens. */
  readonly probabilityWithin: (tokens: number) => number;
  readonly domainDistanceMs: Milliseconds;
  readonly now: Milliseconds;
}

/** What sending a request to one upstream is expected to bring. */
export interface RouteEstimate {
  readonly prefillMs: Milliseconds;
  readonly decodeMsPerToken: number;
  readonly expectedMs: Milliseconds;
  /** The chance of a whole answer within the deadline. */
  readonly probability: number;
  /** The least is best. */
  readonly cost: number;
}

/** A report says less the older it is: half after about 1.4 s, nothing after 10. */
const REPORT_DECAY_MS = 2_000;
/** A missed deadline costs so many times what was left of it. */
const MISS_WEIGHT = 4;
/** From this share of KV memory on, new work may push cached prefixes out. */
const TIGHT_MEMORY_SHARE = 0.9;
/** A report older than about 1.4 s says nothing of memory. */
const MINIMUM_TRUST = 0.5;
/** Cost of tight memory, as a share of the expected time. */
const TIGHT_MEMORY_COST = 0.25;

/**
 * Answers the load patterns of unlike speeds, stale reports, herding, shared
 * prefixes and distance: the expected completion of a request at one upstream.
 * Own work in flight counts in full, a report only for work that is not our own
 * and less the older it is. A miss of the deadline costs what is left of it, so
 * that urgent and long requests go where they can finish. Without it, requests
 * of unknown length go to whichever upstream has the fewest, which is the slow
 * one.
 */
export function estimateRoute(
  candidate: RouteCandidate,
  query: RouteQuery,
): RouteEstimate {
  const { placementRequest: ask, now } = query;
  const foreign = foreignRequests(candidate, now);
  const distance = candidate.description.failureDomain === ask.originDomain
    ? 0
    : 2 * query.domainDistanceMs;
  const { prefillMsPerToken } = candidate.times;
  const uncached = ask.promptTokens - candidate.cachedTokens;
  const prefillMs = distance +
    (candidate.prefillBacklogTokens + uncached) * prefillMsPerToken;
  const decodeMsPerToken = decodeTimeAt(
    candidate.times,
    candidate.expectedInFlight + foreign,
  );
  const expectedMs = prefillMs + query.meanOutputTokens * decodeMsPerToken;
  const remaining = ask.deadline - now;
  const probability = query.probabilityWithin(
    (remaining - prefillMs) / decodeMsPerToken,
  );
  const memoryCost = isMemoryTight(candidate, now)
    ? TIGHT_MEMORY_COST * expectedMs
    : 0;
  return {
    prefillMs,
    decodeMsPerToken,
    expectedMs,
    probability,
    cost: expectedMs + memoryCost + MISS_WEIGHT * (1 - probability) * remaining,
  };
}

/**
 * Whether to wait for a busy upstream that holds the prefix: only when the wait
 * until its next place is free costs at most half of the prefill that it saves.
 */
export function isWorthWaitingForCache(
  { savedTokens, prefillMsPerToken, expectedMs, inFlightRequests }: {
    savedTokens: number;
    prefillMsPerToken: number;
    /** Expected time of a request at the busy upstream. */
    expectedMs: Milliseconds;
    inFlightRequests: number;
  },
): boolean {
  const expectedWait = expectedMs / Math.max(1, inFlightRequests);
  return savedTokens * prefillMsPerToken >= 2 * expectedWait;
}

function foreignRequests(
  { report, inFlightRequests }: RouteCandidate,
  now: Milliseconds,
): number {
  if (report === undefined) return 0;
  const reported = report.runningRequests + report.waitingRequests;
  return Math.max(0, reported - inFlightRequests) * trust(report, now);
}

function isMemoryTight(
  { report }: RouteCandidate,
  now: Milliseconds,
): boolean {
  if (report === undefined) return false;
  return report.memoryShare > TIGHT_MEMORY_SHARE &&
    trust(report, now) > MINIMUM_TRUST;
}

function trust(report: LoadReport, now: Milliseconds): number {
  return Math.exp(-(now - report.takenAt) / REPORT_DECAY_MS);
}
