import type { Milliseconds } from "@wasabivane/common";
import type { AccountLimits } from "./accountLimits.ts";
import { REFUSED_WITHOUT_UPSTREAM_RETRY_MS } from "./constants.ts";
import type { DrainRate } from "./drainRate.ts";
import type { LengthDistribution } from "./lengthEstimate.ts";
import type { ServiceTime } from "./serviceTime.ts";
import type { Suspects } from "./suspects.ts";
import type { Ask, Decision, RefusalReason } from "./types.ts";
import type { UpstreamPool } from "./upstreamPool.ts";
import type { WaitQueue } from "./waitQueue.ts";

/** What an {@link Admission} looks at. */
export interface AdmissionOptions {
  readonly pool: UpstreamPool;
  readonly queue: WaitQueue;
  readonly limits: AccountLimits;
  readonly suspects: Suspects;
  readonly drain: DrainRate;
  readonly serviceTime: ServiceTime;
}

/** What is known of a request that arrives. */
export interface ArrivalDetails {
  readonly lengths: LengthDistribution;
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
export class Admission {
  readonly #options: AdmissionOptions;

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** The refusal of a request that no wait would help; undefined when there is none. */
  refuseAtOnce(ask: Ask, now: Milliseconds): Decision | undefined {
    const { pool, suspects, limits } = this.#options;
    if (ask.deadline <= now) return refuse(ask, "deadline-passed", 0);
    if (!pool.hasTargets) {
      return refuse(ask, "no-upstream", REFUSED_WITHOUT_UPSTREAM_RETRY_MS);
    }
    const verdict = suspects.verdict(ask.fingerprint, now);
    if (verdict.kind === "convicted") {
      return refuse(ask, "convicted", verdict.retryAfter);
    }
    const limit = limits.check(ask, now);
    if (limit.kind === "within") return undefined;
    return refuse(ask, "account-limit", limit.retryAfter);
  }

  /** The refusal of a request that would wait past its latest start. */
  refuseLate(
    ask: Ask,
    { lengths, expectedTokens, latestStart, now }: ArrivalDetails,
  ): Decision | undefined {
    const { queue, drain, serviceTime } = this.#options;
    const ahead = queue.tokensAhead(ask, expectedTokens);
    const wait = (drain.timeFor(ahead) ?? 0) * WAIT_CONFIDENCE;
    if (now + wait <= latestStart) return undefined;
    return {
      kind: "refuse",
      ask,
      reason: "deadline-unreachable",
      retryAfter: boundedRetry(now + wait - latestStart),
      estimate: wait + serviceTime.expected(ask, lengths.mean()),
    };
  }

  /** When a caller should come back whose request left the queue. */
  retryAfterQueue(): Milliseconds {
    const { queue, drain } = this.#options;
    return boundedRetry(drain.timeFor(queue.tokens) ?? MINIMUM_RETRY_MS);
  }
}

/** A refusal without an estimate. */
export function refuse(
  ask: Ask,
  reason: RefusalReason,
  retryAfter: Milliseconds,
): Decision {
  return { kind: "refuse", ask, reason, retryAfter };
}

function boundedRetry(wait: Milliseconds): Milliseconds {
  return Math.ceil(
    Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, wait)),
  );
}
