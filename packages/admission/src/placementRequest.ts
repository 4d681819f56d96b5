import type {
  FailureDomain,
  Milliseconds,
  RequestId,
  ServiceId,
  Tier,
  UpstreamId,
} from "@wasabivane/common";
import { computeStartBounds } from "./callerTimeouts.ts";
import type { PendingRequest, PlacementDecision } from "./requestScheduler.ts";
import type { PromptPart, RouteId } from "./types.ts";
import type { UpstreamStats } from "./upstreamStats.ts";

/** Part of the target that a margin takes at most: a belief must not make all late. */
const MOST_MARGIN_SHARE = 0.5;
/** Shortest time in a place that is told apart from none. */
const LEAST_HOLD_MS: Milliseconds = 1;

/** A request that wants a place, as its host describes it to whoever keeps the line. */
export interface PlacementRequest {
  readonly request: RequestId;
  readonly service: ServiceId;
  /** Where the host is that sends it. */
  readonly failureDomain: FailureDomain;
  readonly route: RouteId;
  readonly tier: Tier;
  readonly arrivedAt: Milliseconds;
  /** Time from arrival until its first event, or its whole plain answer, is due. */
  readonly target: Milliseconds;
  /** When the whole answer must have been given. */
  readonly deadline: Milliseconds;
  /** Time from arrival for which its caller bears it that nothing comes. */
  readonly firstByteTimeout: Milliseconds;
  readonly promptTokens: number;
  /** Tokens that its caller expects in the answer; 0 where it does not say. */
  readonly expectedTokens: number;
  /** Longest pause of a stream that is on time; 0 where pauses do not count. */
  readonly pauseTarget: Milliseconds;
  /** Parts of the prompt, in order. */
  readonly parts: readonly PromptPart[];
  /** Upstreams that it was sent to before. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /** An upstream may have begun with it. */
  readonly isContinuation: boolean;
}

/** Works out from what is known of the upstreams what a scheduler decides by. */
export function createPendingRequest(
  wish: PlacementRequest,
  knowledge: UpstreamStats,
  decide: (verdict: PlacementDecision) => void,
): PendingRequest {
  const { service, route, arrivedAt, target, promptTokens } = wish;
  const latency = knowledge.firstEvents.expected(service, { promptTokens });
  const answering = knowledge.responseDurations.expected(
    route,
    wish.expectedTokens,
  );
  return {
    ...wish,
    since: arrivedAt,
    dueAt: arrivedAt + target,
    hold: Math.max(LEAST_HOLD_MS, latency + answering),
    responseDuration: answering,
    ...computeStartBounds({
      arrivedAt,
      target,
      firstByteTimeout: wish.firstByteTimeout,
      latency,
    }),
    margin: Math.min(
      knowledge.latencyMargins.of(route),
      MOST_MARGIN_SHARE * target,
    ),
    decide,
  };
}
