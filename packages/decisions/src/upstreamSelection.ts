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

/** Where a request should start. */
export interface SelectedUpstream {
  readonly state: UpstreamState;
  readonly cachedTokens: number;
  readonly estimate: RouteEstimate;
}

/** What a placement is asked for. */
export interface UpstreamSelectionQuery {
  readonly queued: QueuedRequest;
  readonly lengths: OutputLengthDistribution;
  readonly isSuspect: boolean;
  /** With this chance or more, it need not wait for a better upstream. */
  readonly minimumProbability: number;
  /** More requests wait, so that upstreams will be filled to their bounds. */
  readonly isBusy: boolean;
  readonly domainDistanceMs: Milliseconds;
  readonly now: Milliseconds;
}

/** Requests in flight at an upstream of a generation that has answered nothing yet. */
const UNKNOWN_BOUND = 4;
/** A better upstream must raise the chance by so much to be waited for. */
const WORTHWHILE_GAIN = 0.005;

/**
 * The best free upstream for a request; `undefined` when it should rather wait:
 * for room, for an upstream where it can meet its deadline, or for one that holds
 * its prefix.
 */
export function selectUpstream(
  pool: UpstreamPool,
  query: UpstreamSelectionQuery,
): SelectedUpstream | undefined {
  const { placementRequest: ask } = query.queued;
  const holders = cachedTokensByUpstream(pool, ask, query.now);
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
    const place = { state, cachedTokens, estimate };
    if (best === undefined || isBetter(place, best, query)) best = place;
  }
  if (best === undefined) return undefined;
  if (shouldWaitForFaster(pool, best, query)) return undefined;
  if (shouldWaitForCache(pool, best, { query, route, holders })) {
    return undefined;
  }
  return best;
}

function routeQuery(
  { queued: waiting, lengths, domainDistanceMs, now }: UpstreamSelectionQuery,
): RouteQuery {
  return {
    placementRequest: waiting.placementRequest,
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
  { queued: waiting, isSuspect }: UpstreamSelectionQuery,
): boolean {
  if (isSuspect && state.suspectRequest !== undefined) return false;
  const isKnown = pool.speeds.isKnown(state.description.generation);
  if (!isKnown && state.attempts.size >= UNKNOWN_BOUND) return false;
  return state.hasCapacityFor(waiting.expectedTokens, pool.capacityShare);
}

/** A suspect goes where its loss would cost the fewest; others where they end first. */
function isBetter(
  place: SelectedUpstream,
  other: SelectedUpstream,
  { isSuspect }: UpstreamSelectionQuery,
): boolean {
  if (isSuspect && place.state.attempts.size !== other.state.attempts.size) {
    return place.state.attempts.size < other.state.attempts.size;
  }
  return place.estimate.cost < other.estimate.cost;
}

function shouldWaitForFaster(
  pool: UpstreamPool,
  { estimate }: SelectedUpstream,
  { queued: waiting, lengths, minimumProbability: leastProbability, now }:
    UpstreamSelectionQuery,
): boolean {
  if (estimate.probability >= leastProbability) return false;
  const { placementRequest: ask } = waiting;
  const times = pool.fastestTimes(lengths.mean(), ask.promptTokens);
  const left = ask.deadline - now - ask.promptTokens * times.prefillMsPerToken;
  const possible = lengths.probabilityWithin(left / times.decodeMsPerToken);
  return possible > estimate.probability + WORTHWHILE_GAIN;
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
  const { queued: waiting, now } = query;
  if (waiting.cacheWaitUntil !== undefined && waiting.cacheWaitUntil <= now) {
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
    waiting.cacheWaitUntil ??= now + savedTokens * prefillMsPerToken / 2;
    return waiting.cacheWaitUntil > now;
  }
  return false;
}

function cachedTokensByUpstream(
  pool: UpstreamPool,
  ask: PlacementRequest,
  now: Milliseconds,
): Map<UpstreamId, number> {
  const found = new Map<UpstreamId, number>();
  for (
    const { upstream, blocks } of pool.cache.holders(ask.prefixDigests, now)
  ) {
    const tokens = Math.min(blocks * TOKENS_PER_BLOCK, ask.promptTokens - 1);
    found.set(upstream, tokens);
  }
  return found;
}
