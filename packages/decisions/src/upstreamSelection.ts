import type { Milliseconds, UpstreamId } from "@wasabivane/common";
import type { QueuedRequest } from "./accountQueue.ts";
import { TOKENS_PER_BLOCK } from "./prefixCacheIndex.ts";
import type { OutputLengthDistribution } from "./outputLengthEstimator.ts";
import {
  estimateRoute,
  isWorthWaitingForCache,
  type RouteEstimate,
  type RouteQuery,
} from "./routeEstimate.ts";
import type { PlacementRequest } from "./types.ts";
import type { UpstreamPool } from "./upstreamPool.ts";
import type { UpstreamState } from "./upstreamState.ts";

/**
 * Holds the upstream selected for a request and the estimate it is based on.
 */
export interface SelectedUpstream {
  readonly state: UpstreamState;
  readonly cachedTokens: number;
  readonly estimate: RouteEstimate;
}

/** Describes the request for which an upstream is selected. */
export interface UpstreamSelectionQuery {
  readonly queued: QueuedRequest;
  readonly lengths: OutputLengthDistribution;
  readonly isSuspect: boolean;
  /** Minimum probability at which it does not wait for a better upstream. */
  readonly minimumProbability: number;
  /** Whether more requests wait, so that upstreams will run at their limits. */
  readonly isBusy: boolean;
  readonly domainDistanceMs: Milliseconds;
  readonly now: Milliseconds;
}

/** Maximum requests in flight at an upstream of unknown speed. */
const UNKNOWN_SPEED_LIMIT = 4;
/** Minimum gain in probability that justifies waiting for a better upstream. */
const MINIMUM_PROBABILITY_GAIN = 0.005;

/**
 * Selects the best free upstream for a request. Returns `undefined` if the
 * request should wait for capacity, for an upstream that can meet its deadline,
 * or for one that has its prefix cached.
 */
export function selectUpstream(
  pool: UpstreamPool,
  query: UpstreamSelectionQuery,
): SelectedUpstream | undefined {
  const { placementRequest } = query.queued;
  const holders = cachedTokensByUpstream(pool, placementRequest, query.now);
  const route = routeQuery(query);
  let best: SelectedUpstream | undefined;
  for (const state of pool.candidates(holders.keys())) {
    if (!isAllowed(pool, state, query)) continue;
    const cachedTokens = holders.get(state.description.upstream) ?? 0;
    const estimate = estimateAt(pool, state, {
      cachedTokens,
      route,
      isBusy: query.isBusy,
    });
    const option = { state, cachedTokens, estimate };
    if (best === undefined || isBetter(option, best, query)) best = option;
  }
  if (best === undefined) return undefined;
  if (shouldWaitForFaster(pool, best, query)) return undefined;
  if (shouldWaitForCache(pool, best, { query, route, holders })) {
    return undefined;
  }
  return best;
}

function routeQuery(
  { queued, lengths, domainDistanceMs, now }: UpstreamSelectionQuery,
): RouteQuery {
  return {
    placementRequest: queued.placementRequest,
    meanOutputTokens: lengths.mean(),
    probabilityWithin: (tokens) => lengths.probabilityWithin(tokens),
    domainDistanceMs,
    now,
  };
}

function estimateAt(
  pool: UpstreamPool,
  state: UpstreamState,
  { cachedTokens, route, isBusy }: {
    cachedTokens: number;
    route: RouteQuery;
    isBusy: boolean;
  },
): RouteEstimate {
  return estimateRoute({
    description: state.description,
    times: pool.speeds.times(state.description.upstream),
    inFlightRequests: state.attempts.size,
    expectedInFlight: isBusy
      ? Math.max(state.attempts.size, state.requestLimit(pool.capacityShare))
      : state.attempts.size + 1,
    prefillBacklogTokens: state.prefillBacklogTokens,
    cachedTokens,
    report: state.report,
  }, route);
}

function isAllowed(
  pool: UpstreamPool,
  state: UpstreamState,
  { queued, isSuspect }: UpstreamSelectionQuery,
): boolean {
  if (isSuspect && state.suspectRequest !== undefined) return false;
  const isKnown = pool.speeds.isKnown(state.description.generation);
  if (!isKnown && state.attempts.size >= UNKNOWN_SPEED_LIMIT) return false;
  return state.hasCapacityFor(queued.expectedTokens, pool.capacityShare);
}

/** Prefers fewer requests in flight for a suspect, lower cost otherwise. */
function isBetter(
  option: SelectedUpstream,
  other: SelectedUpstream,
  { isSuspect }: UpstreamSelectionQuery,
): boolean {
  if (isSuspect && option.state.attempts.size !== other.state.attempts.size) {
    return option.state.attempts.size < other.state.attempts.size;
  }
  return option.estimate.cost < other.estimate.cost;
}

function shouldWaitForFaster(
  pool: UpstreamPool,
  { estimate }: SelectedUpstream,
  { queued, lengths, minimumProbability, now }: UpstreamSelectionQuery,
): boolean {
  if (estimate.probability >= minimumProbability) return false;
  const { placementRequest } = queued;
  const times = pool.fastestTimes(
    lengths.mean(),
    placementRequest.promptTokens,
  );
  const decodeMs = placementRequest.deadline - now -
    placementRequest.promptTokens * times.prefillMsPerToken;
  const achievable = lengths.probabilityWithin(
    decodeMs / times.decodeMsPerToken,
  );
  return achievable > estimate.probability + MINIMUM_PROBABILITY_GAIN;
}

function shouldWaitForCache(
  pool: UpstreamPool,
  best: SelectedUpstream,
  { query, route, holders }: {
    query: UpstreamSelectionQuery;
    route: RouteQuery;
    holders: ReadonlyMap<UpstreamId, number>;
  },
): boolean {
  const { queued, now } = query;
  if (queued.cacheWaitUntil !== undefined && queued.cacheWaitUntil <= now) {
    return false;
  }
  const { prefillMsPerToken } = pool.speeds.times(
    best.state.description.upstream,
  );
  for (const [upstream, cachedTokens] of holders) {
    const savedTokens = cachedTokens - best.cachedTokens;
    const state = pool.states.get(upstream);
    if (savedTokens <= 0 || state === undefined) continue;
    if (state.isEjected || state.description.isLeaving) continue;
    if (pool.free.has(state)) continue;
    const { expectedMs } = estimateAt(pool, state, {
      cachedTokens,
      route,
      isBusy: true,
    });
    const inFlightRequests = state.attempts.size;
    const isWorthWaiting = isWorthWaitingForCache({
      savedTokens,
      prefillMsPerToken,
      expectedMs,
      inFlightRequests,
    });
    if (!isWorthWaiting) continue;
    queued.cacheWaitUntil ??= now + savedTokens * prefillMsPerToken / 2;
    return queued.cacheWaitUntil > now;
  }
  return false;
}

function cachedTokensByUpstream(
  pool: UpstreamPool,
  placementRequest: PlacementRequest,
  now: Milliseconds,
): Map<UpstreamId, number> {
  const found = new Map<UpstreamId, number>();
  for (
    const { upstream, blocks } of pool.cache.holders(
      placementRequest.prefixDigests,
      now,
    )
  ) {
    const tokens = Math.min(
      blocks * TOKENS_PER_BLOCK,
      placementRequest.promptTokens - 1,
    );
    found.set(upstream, tokens);
  }
  return found;
}
