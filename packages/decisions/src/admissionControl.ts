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

/** What an {@link AdmissionControl} looks at. */
export interface AdmissionControlOptions {
  readonly pool: UpstreamPool;
  readonly queue: WaitQueue;
  readonly limits: AccountLimits;
  readonly poisonRequests: PoisonRequestDetector;
  readonly drainRate: DrainRate;
  readonly serviceTime: ServiceTime;
}

/** What is known of a request that arrives. */
export interface ArrivalDetails {
  readonly lengths: OutputLengthDistribution;
  readonly expectedTokens: number;
  readonly latestStart: Milliseconds;
  readonly now: Milliseconds;
}

/** A refused caller comes back no sooner and no later than this. */
const MINIMUM_RETRY_MS = 500;
const MAXIMUM_RETRY_MS = 30_000;
/** A wait is known only roughly; a refusal on arrival needs a clear miss. */
const WAIT_CONFIDENCE = 0.7;

/**
 * Answers the load pattern of requests that cannot be served: each is refused on
 * arrival, with the reason and when to come back. Without it, callers wait for
 * their whole deadline to be told no, and what they waited for is wasted.
 */
export class AdmissionControl {
  readonly #options: AdmissionControlOptions;

  constructor(options: AdmissionControlOptions) {
    this.#options = options;
  }

  /** The refusal of a request that no wait would help; undefined when there is none. */
  refuseImmediately(
    ask: PlacementRequest,
    now: Milliseconds,
  ): Decision | undefined {
    const { pool, poisonRequests: suspects, limits } = this.#options;
    if (ask.deadline <= now) return createRefusal(ask, "deadline-passed", 0);
    if (!pool.hasActiveUpstreams) {
      return createRefusal(ask, "no-upstream", NO_UPSTREAM_RETRY_MS);
    }
    const verdict = suspects.statusOf(ask.fingerprint, now);
    if (verdict.kind === "convicted") {
      return createRefusal(ask, "convicted", verdict.retryAfter);
    }
    const limit = limits.check(ask, now);
    if (limit.kind === "within") return undefined;
    return createRefusal(ask, "account-limit", limit.retryAfter);
  }

  /** The refusal of a request that would wait past its latest start. */
  refuseUnreachable(
    ask: PlacementRequest,
    { lengths, expectedTokens, latestStart, now }: ArrivalDetails,
  ): Decision | undefined {
    const { queue, drainRate: drain, serviceTime } = this.#options;
    const ahead = queue.tokensAhead(ask, expectedTokens);
    const wait = (drain.timeToDrain(ahead) ?? 0) * WAIT_CONFIDENCE;
    if (now + wait <= latestStart) return undefined;
    return {
      kind: "refuse",
      placementRequest: ask,
      reason: "deadline-unreachable",
      retryAfter: boundedRetry(now + wait - latestStart),
      estimate: wait + serviceTime.expected(ask, lengths.mean()),
    };
  }

  /** When a caller should come back whose request left the queue. */
  queueRetryAfter(): Milliseconds {
    const { queue, drainRate: drain } = this.#options;
    return boundedRetry(drain.timeToDrain(queue.tokens) ?? MINIMUM_RETRY_MS);
  }
}

/** A refusal without an estimate. */
export function createRefusal(
  ask: PlacementRequest,
  reason: RefusalReason,
  retryAfter: Milliseconds,
): Decision {
  return { kind: "refuse", placementRequest: ask, reason, retryAfter };
}

function boundedRetry(wait: Milliseconds): Milliseconds {
  return Math.ceil(
    Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, wait)),
  );
}
