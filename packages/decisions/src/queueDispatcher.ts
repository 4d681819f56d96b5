import type { Milliseconds, RequestId } from "@wasabivane/common";
import type { QueuedRequest } from "./accountQueue.ts";
import type { AccountLimits } from "./accountLimits.ts";
import type { OutputLengthDistribution } from "./outputLengthEstimator.ts";
import { type SelectedUpstream, selectUpstream } from "./upstreamSelection.ts";
import type {
  PoisonRequestDetector,
  PoisonStatus,
} from "./poisonRequestDetector.ts";
import type { StartEligibility } from "./tierQueue.ts";
import { tierTargetsOf } from "./tierTargets.ts";
import type { PoolPolicy } from "./types.ts";
import type { UpstreamPool } from "./upstreamPool.ts";
import type { WaitQueue } from "./waitQueue.ts";

/** Holds the components that a {@link QueueDispatcher} uses. */
export interface QueueDispatcherOptions {
  readonly pool: UpstreamPool;
  readonly queue: WaitQueue;
  readonly limits: AccountLimits;
  readonly poisonRequests: PoisonRequestDetector;
  readonly outputLengths: ReadonlyMap<RequestId, OutputLengthDistribution>;
  readonly policy: () => PoolPolicy;
}

/** Holds a request that left the queue, to be started or to be refused. */
export type DispatchResult =
  | {
    readonly kind: "start";
    readonly queued: QueuedRequest;
    readonly selected: SelectedUpstream;
  }
  | { readonly kind: "convicted"; readonly queued: QueuedRequest };

/**
 * Time for which a request stays blocked unless another upstream group becomes
 * free.
 */
const BLOCKED_MS = 250;

/** Selects the next waiting request that can start, and its upstream. */
export class QueueDispatcher {
  readonly #options: QueueDispatcherOptions;

  constructor(options: QueueDispatcherOptions) {
    this.#options = options;
  }

  /**
   * Removes the next request from the queue; returns `undefined` if none can
   * start.
   */
  next(now: Milliseconds): DispatchResult | undefined {
    const { queue, pool, poisonRequests } = this.#options;
    if (queue.size === 0 || pool.free.size === 0) return undefined;
    let selected: SelectedUpstream | undefined;
    const queued = queue.take((candidate): StartEligibility => {
      const status = poisonRequests.statusOf(
        candidate.placementRequest.fingerprint,
        now,
      );
      if (status.kind === "convicted") return "start";
      const eligibility = this.#preCheck(candidate, now);
      if (eligibility !== undefined) return eligibility;
      selected = this.#selectUpstream(candidate, status, now);
      if (selected !== undefined) return "start";
      candidate.blockedGroupMask = pool.free.groupMask;
      candidate.blockedUntil = now + BLOCKED_MS;
      return "blocked";
    });
    if (queued === undefined) return undefined;
    if (selected === undefined) return { kind: "convicted", queued };
    return { kind: "start", queued, selected };
  }

  /**
   * Returns why no upstream has to be selected, or `undefined` if one must be.
   */
  #preCheck(
    { placementRequest, blockedGroupMask, blockedUntil }: QueuedRequest,
    now: Milliseconds,
  ): StartEligibility | undefined {
    const { limits, pool } = this.#options;
    if (!limits.hasFreeSlot(placementRequest.account)) return "account-blocked";
    const isStillBlocked = now < blockedUntil &&
      (pool.free.groupMask & ~blockedGroupMask) === 0;
    return isStillBlocked ? "still-blocked" : undefined;
  }

  #selectUpstream(
    queued: QueuedRequest,
    status: PoisonStatus,
    now: Milliseconds,
  ): SelectedUpstream | undefined {
    const { pool, queue, outputLengths, policy } = this.#options;
    return selectUpstream(pool, {
      queued,
      lengths: outputLengths.get(queued.placementRequest.request)!,
      isSuspect: status.kind === "suspect",
      minimumProbability: this.#minimumProbability(queued, now),
      isBusy: queue.size > 1,
      domainDistanceMs: policy().domainDistanceMs,
      now,
    });
  }

  /**
   * Returns the probability below which a request waits for a better upstream.
   * It is lower when a request of a lower tier would take the slot instead.
   */
  #minimumProbability(
    { placementRequest: { tier }, enqueuedAt }: QueuedRequest,
    now: Milliseconds,
  ): number {
    const { queue, policy } = this.#options;
    const targets = tierTargetsOf(tier, policy().tiers);
    const isContended = (queue.lowestTier() ?? tier) > tier &&
      now - enqueuedAt >= targets.contentionGraceMs;
    return isContended ? targets.contendedWaitBelow : targets.waitBelow;
  }
}
