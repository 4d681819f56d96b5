import type {
  ClientAccountId,
  FailureDomain,
  Milliseconds,
  RequestId,
  ServiceId,
  Tier,
  UpstreamId,
} from "@wasabivane/common";
import { computeStartBounds } from "./callerTimeouts.ts";
import type { PendingRequest, PlacementDecision } from "./requestScheduler.ts";
import type { PromptPart, RouteId, SoftwareVersion } from "./types.ts";
import type { UpstreamStats } from "./upstreamStats.ts";

/**
 * Share of the target that a margin takes at most, so that it does not make
 * every request late.
 */
const MAXIMUM_MARGIN_SHARE = 0.5;
/** Shortest time in a slot that is distinguished from none. */
const MINIMUM_SLOT_TIME_MS: Milliseconds = 1;

/** A request that needs a slot, as its host describes it to a scheduler. */
export interface PlacementRequest {
  readonly request: RequestId;
  readonly service: ServiceId;
  /** Failure domain of the host that sends it. */
  readonly failureDomain: FailureDomain;
  readonly route: RouteId;
  readonly tier: Tier;
  readonly arrivedAt: Milliseconds;
  /**
   * Time from arrival until its first event, or its complete response without
   * streaming, is due.
   */
  readonly target: Milliseconds;
  /** When the complete response must have been delivered. */
  readonly deadline: Milliseconds;
  /** How long after its arrival the caller waits for the first byte. */
  readonly firstByteTimeout: Milliseconds;
  readonly promptTokens: number;
  /** Response length in tokens that the caller expects; 0 if it gives none. */
  readonly expectedTokens: number;
  /** Longest pause of a stream that is on time; 0 if pauses do not count. */
  readonly pauseTarget: Milliseconds;
  /** Parts of the prompt, in order. */
  readonly parts: readonly PromptPart[];
  /** Upstreams that it was sent to before. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /** Version that began its stream; `undefined` if it may go to any. */
  readonly softwareVersion?: SoftwareVersion | undefined;
  /** Whether an upstream may have started it. */
  readonly isContinuation: boolean;
  /** Absent if its route needs no account. */
  readonly account?: ClientAccountId;
}

/**
 * Adds to a request what its scheduling needs from the statistics of the
 * upstreams.
 */
export function createPendingRequest(
  request: PlacementRequest,
  stats: UpstreamStats,
  decide: (decision: PlacementDecision) => void,
): PendingRequest {
  const { service, route, arrivedAt, target, promptTokens } = request;
  const latency = stats.firstEvents.expected(service, { promptTokens });
  const responseDuration = stats.responseDurations.expected(
    route,
    request.expectedTokens,
  );
  return {
    ...request,
    since: arrivedAt,
    dueAt: arrivedAt + target,
    slotTime: Math.max(MINIMUM_SLOT_TIME_MS, latency + responseDuration),
    responseDuration,
    ...computeStartBounds({
      arrivedAt,
      target,
      firstByteTimeout: request.firstByteTimeout,
      latency,
    }),
    margin: Math.min(
      stats.latencyMargins.of(route),
      MAXIMUM_MARGIN_SHARE * target,
    ),
    decide,
  };
}

/** Returns the latest start of a request that is of use to its caller. */
export function latestStart(
  request: PlacementRequest,
  stats: UpstreamStats,
): Milliseconds {
  if (request.isContinuation) return request.deadline;
  return createPendingRequest(request, stats, () => {}).usefulUntil;
}
