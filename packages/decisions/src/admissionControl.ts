import type { Milliseconds } from "@wasabivane/common";
import type { AccountLimits } from "./accountLimits.ts";
import { NO_UPSTREAM_RETRY_MS } from "./constants.ts";
import type { DrainRate } from "./drainRate.ts";
import type { OutputLengthDistribution } from "./outputLengthEstimator.ts";
import type { ServiceTime } from "./serviceTime.ts";
import type { PoisonRequestDetector } from "./poisonRequestDetector.ts";
import type { Decision, PlacementRequest, RefusalReason } from "./types.ts";
import type { UpstreamPool } from "./upstreamPool.ts";
import type { WaitQueue } from "./waitQueue.ts";

/** Holds the components that an {@link AdmissionControl} consults. */
export interface AdmissionControlOptions {
  readonly pool: UpstreamPool;
  readonly queue: WaitQueue;
  readonly limits: AccountLimits;
  readonly poisonRequests: PoisonRequestDetector;
  readonly drainRate: DrainRate;
  readonly serviceTime: ServiceTime;
}

/** Holds the estimates for a request that arrives. */
export interface ArrivalDetails {
  readonly lengths: OutputLengthDistribution;
  readonly expectedTokens: number;
  readonly latestStart: Milliseconds;
  readonly now: Milliseconds;
}

const MINIMUM_RETRY_DELAY_MS = 500;
const MAXIMUM_RETRY_DELAY_MS = 30_000;
/**
 * Scales the estimated wait down, so that only clearly late requests are
 * refused.
 */
const WAIT_ESTIMATE_FACTOR = 0.7;

/**
 * Refuses requests on arrival if they cannot be served in time, with the reason
 * and a retry delay, so that their callers need not wait for the deadline.
 */
export class AdmissionControl {
  readonly #options: AdmissionControlOptions;

  constructor(options: AdmissionControlOptions) {
    this.#options = options;
  }

  /** Returns a refusal if waiting cannot help the request, else `undefined`. */
  refuseImmediately(
    placementRequest: PlacementRequest,
    now: Milliseconds,
  ): Decision | undefined {
    const { pool, poisonRequests, limits } = this.#options;
    if (placementRequest.deadline <= now) {
      return createRefusal(placementRequest, "deadline-passed", 0);
    }
    if (!pool.hasActiveUpstreams) {
      return createRefusal(
        placementRequest,
        "no-upstream",
        NO_UPSTREAM_RETRY_MS,
      );
    }
    const status = poisonRequests.statusOf(placementRequest.fingerprint, now);
    if (status.kind === "convicted") {
      return createRefusal(placementRequest, "convicted", status.retryAfter);
    }
    const limit = limits.check(placementRequest, now);
    if (limit.kind === "within") return undefined;
    return createRefusal(placementRequest, "account-limit", limit.retryAfter);
  }

  /** Returns a refusal if the request would wait beyond its latest start. */
  refuseUnreachable(
    placementRequest: PlacementRequest,
    { lengths, expectedTokens, latestStart, now }: ArrivalDetails,
  ): Decision | undefined {
    const { queue, drainRate, serviceTime } = this.#options;
    const tokensAhead = queue.tokensAhead(placementRequest, expectedTokens);
    const wait = (drainRate.timeToDrain(tokensAhead) ?? 0) *
      WAIT_ESTIMATE_FACTOR;
    if (now + wait <= latestStart) return undefined;
    return {
      kind: "refuse",
      placementRequest,
      reason: "deadline-unreachable",
      retryAfter: clampRetryDelay(now + wait - latestStart),
      estimate: wait + serviceTime.expected(placementRequest, lengths.mean()),
    };
  }

  /** Returns the retry delay for a request that is removed from the queue. */
  queueRetryAfter(): Milliseconds {
    const { queue, drainRate } = this.#options;
    return clampRetryDelay(
      drainRate.timeToDrain(queue.tokens) ?? MINIMUM_RETRY_DELAY_MS,
    );
  }
}

/** Creates a refusal without an estimate. */
export function createRefusal(
  placementRequest: PlacementRequest,
  reason: RefusalReason,
  retryAfter: Milliseconds,
): Decision {
  return { kind: "refuse", placementRequest, reason, retryAfter };
}

function clampRetryDelay(wait: Milliseconds): Milliseconds {
  return Math.ceil(
    Math.min(MAXIMUM_RETRY_DELAY_MS, Math.max(MINIMUM_RETRY_DELAY_MS, wait)),
  );
}
