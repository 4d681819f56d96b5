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

/** What a {@link QueueDispatcher} looks at. */
export interface QueueDispatcherOptions {
  readonly pool: UpstreamPool;
  readonly queue: WaitQueue;
  readonly limits: AccountLimits;
  readonly poisonRequests: PoisonRequestDetector;
  readonly outputLengths: ReadonlyMap<RequestId, OutputLengthDistribution>;
  readonly policy: () => PoolPolicy;
}

/** A request that left the queue: to start, or never to. */
export type DispatchResult =
  | {
    readonly kind: "place";
    readonly queued: QueuedRequest;
    readonly selected: SelectedUpstream;
  }
  | { readonly kind: "convicted"; readonly queued: QueuedRequest };

/** A request that found no place is looked at again when another kind of upstream is free, or after this. */
const BLOCKED_MS = 250;

/** Finds the first waiting request that can start, and where. */
export class QueueDispatcher {
  readonly #options: QueueDispatcherOptions;

  constructor(options: QueueDispatcherOptions) {
    this.#options = options;
  }

  /** Takes the next request out of the queue; undefined when none can start. */
  next(now: Milliseconds): DispatchResult | undefined {
    const { queue, pool, poisonRequests: suspects } = this.#options;
    if (queue.size === 0 || pool.free.size === 0) return undefined;
    let place: SelectedUpstream | undefined;
    const waiting = queue.take((candidate): StartEligibility => {
      const verdict = suspects.statusOf(
        candidate.placementRequest.fingerprint,
        now,
      );
      if (verdict.kind === "convicted") return "start";
      const acceptance = this.#checkBefore(candidate, now);
      if (acceptance !== undefined) return acceptance;
      place = this.#findPlace(candidate, verdict, now);
      if (place !== undefined) return "start";
      candidate.blockedGroupMask = pool.free.groupMask;
      candidate.blockedUntil = now + BLOCKED_MS;
      return "blocked";
    });
    if (waiting === undefined) return undefined;
    if (place === undefined) return { kind: "convicted", queued: waiting };
    return { kind: "place", queued: waiting, selected: place };
  }

  /** Why a request need not be looked at closely. */
  #checkBefore(
    { placementRequest: ask, blockedGroupMask: blockedKinds, blockedUntil }:
      QueuedRequest,
    now: Milliseconds,
  ): StartEligibility | undefined {
    const { limits, pool } = this.#options;
    if (!limits.hasFreeSlot(ask.account)) return "account-blocked";
    const isStillBlocked = now < blockedUntil &&
      (pool.free.groupMask & ~blockedKinds) === 0;
    return isStillBlocked ? "still-blocked" : undefined;
  }

  #findPlace(
    waiting: QueuedRequest,
    verdict: PoisonStatus,
    now: Milliseconds,
  ): SelectedUpstream | undefined {
    const { pool, queue, outputLengths: distributions, policy } = this.#options;
    return selectUpstream(pool, {
      queued: waiting,
      lengths: distributions.get(waiting.placementRequest.request)!,
      isSuspect: verdict.kind === "suspect",
      minimumProbability: this.#leastProbability(waiting, now),
      isBusy: queue.size > 1,
      domainDistanceMs: policy().domainDistanceMs,
      now,
    });
  }

  /**
   * A request waits for a better upstream only while no lower tier would take
   * the place; else it could be given up after the lower tier was served.
   */
  #leastProbability(
    { placementRequest: { tier }, enqueuedAt: since }: QueuedRequest,
    now: Milliseconds,
  ): number {
    const { queue, policy } = this.#options;
    const targets = tierTargetsOf(tier, policy().tiers);
    const isContended = (queue.lowestTier() ?? tier) > tier &&
      now - since >= targets.contentionGraceMs;
    return isContended ? targets.contendedWaitBelow : targets.waitBelow;
  }
}
