import type { Milliseconds } from "@wasabivane/common";
import { decodeTimeAt } from "./paceAllocator.ts";
import type { TokenTimes } from "./speedEstimator.ts";
import type {
  LoadReport,
  PlacementRequest,
  UpstreamDescription,
} from "./types.ts";

/** Describes the current state of an upstream that may receive a request. */
export interface RouteCandidate {
  readonly description: UpstreamDescription;
  readonly times: TokenTimes;
  readonly inFlightRequests: number;
  /** Expected requests in flight while this one runs, itself included. */
  readonly expectedInFlight: number;
  readonly prefillBacklogTokens: number;
  readonly cachedTokens: number;
  readonly report: LoadReport | undefined;
}

/** Describes the request for which routes are estimated. */
export interface RouteQuery {
  readonly placementRequest: PlacementRequest;
  readonly meanOutputTokens: number;
  /** Returns the probability of a response with at most `tokens` tokens. */
  readonly probabilityWithin: (tokens: number) => number;
  readonly domainDistanceMs: Milliseconds;
  readonly now: Milliseconds;
}

/** Holds the expected result of sending a request to one upstream. */
export interface RouteEstimate {
  readonly prefillMs: Milliseconds;
  readonly decodeMsPerToken: number;
  readonly expectedMs: Milliseconds;
  /** Probability of a complete response before the deadline. */
  readonly probability: number;
  /** Ranks upstreams; lower is better. */
  readonly cost: number;
}

/** Time constant of the decaying weight of a load report. */
const REPORT_DECAY_MS = 2_000;
/** Weight of a missed deadline, relative to the time left until it. */
const MISSED_DEADLINE_WEIGHT = 4;
/** Above this share of KV memory, new requests may evict cached prefixes. */
const MEMORY_PRESSURE_SHARE = 0.9;
/** Minimum weight at which a report's memory usage is taken into account. */
const MINIMUM_REPORT_WEIGHT = 0.5;
/** Cost of memory pressure, as a share of the expected time. */
const MEMORY_PRESSURE_COST = 0.25;

/**
 * Estimates the completion time and the cost of a request at one upstream.
 * Requests of this scheduler count in full. A load report accounts only for
 * requests from elsewhere, with a weight that decays with its age. The cost
 * includes the risk of missing the deadline, so that urgent and long requests
 * are sent to upstreams that can finish them in time.
 */
export function estimateRoute(
  candidate: RouteCandidate,
  query: RouteQuery,
): RouteEstimate {
  const { placementRequest, now } = query;
  const externalRequests = externalRequestsOf(candidate, now);
  const networkMs =
    candidate.description.failureDomain === placementRequest.originDomain
      ? 0
      : 2 * query.domainDistanceMs;
  const { prefillMsPerToken } = candidate.times;
  const uncachedTokens = placementRequest.promptTokens - candidate.cachedTokens;
  const prefillMs = networkMs +
    (candidate.prefillBacklogTokens + uncachedTokens) * prefillMsPerToken;
  const decodeMsPerToken = decodeTimeAt(
    candidate.times,
    candidate.expectedInFlight + externalRequests,
  );
  const expectedMs = prefillMs + query.meanOutputTokens * decodeMsPerToken;
  const remaining = placementRequest.deadline - now;
  const probability = query.probabilityWithin(
    (remaining - prefillMs) / decodeMsPerToken,
  );
  const memoryCost = isUnderMemoryPressure(candidate, now)
    ? MEMORY_PRESSURE_COST * expectedMs
    : 0;
  return {
    prefillMs,
    decodeMsPerToken,
    expectedMs,
    probability,
    cost: expectedMs + memoryCost +
      MISSED_DEADLINE_WEIGHT * (1 - probability) * remaining,
  };
}

/**
 * Returns whether to wait for a busy upstream that has the prefix cached: the
 * expected wait for a free slot must be at most half of the saved prefill time.
 */
export function isWorthWaitingForCache(
  { savedTokens, prefillMsPerToken, expectedMs, inFlightRequests }: {
    savedTokens: number;
    prefillMsPerToken: number;
    /** Expected response time at the busy upstream. */
    expectedMs: Milliseconds;
    inFlightRequests: number;
  },
): boolean {
  const expectedWait = expectedMs / Math.max(1, inFlightRequests);
  return savedTokens * prefillMsPerToken >= 2 * expectedWait;
}

function externalRequestsOf(
  { report, inFlightRequests }: RouteCandidate,
  now: Milliseconds,
): number {
  if (report === undefined) return 0;
  const reported = report.runningRequests + report.waitingRequests;
  return Math.max(0, reported - inFlightRequests) * reportWeight(report, now);
}

function isUnderMemoryPressure(
  { report }: RouteCandidate,
  now: Milliseconds,
): boolean {
  if (report === undefined) return false;
  return report.memoryShare > MEMORY_PRESSURE_SHARE &&
    reportWeight(report, now) > MINIMUM_REPORT_WEIGHT;
}

function reportWeight(report: LoadReport, now: Milliseconds): number {
  return Math.exp(-(now - report.takenAt) / REPORT_DECAY_MS);
}
