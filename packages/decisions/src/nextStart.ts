import type { Milliseconds, RequestId } from "@wasabivane/common";
import type { Waiting } from "./accountLane.ts";
import type { AccountLimits } from "./accountLimits.ts";
import type { LengthDistribution } from "./lengthEstimate.ts";
import { findPlace, type Place } from "./placement.ts";
import type { Suspects, Verdict } from "./suspects.ts";
import type { Acceptance } from "./tierQueue.ts";
import { targetsOf } from "./tierTargets.ts";
import type { PoolPolicy } from "./types.ts";
import type { UpstreamPool } from "./upstreamPool.ts";
import type { WaitQueue } from "./waitQueue.ts";

/** What a {@link NextStart} looks at. */
export interface NextStartOptions {
  readonly pool: UpstreamPool;
  readonly queue: WaitQueue;
  readonly limits: AccountLimits;
  readonly suspects: Suspects;
  readonly distributions: ReadonlyMap<RequestId, LengthDistribution>;
  readonly policy: () => PoolPolicy;
}

/** A request that left the queue: to start, or never to. */
export type Start =
  | {
    readonly kind: "place";
    readonly waiting: Waiting;
    readonly place: Place;
  }
  | { readonly kind: "convicted"; readonly waiting: Waiting };

/** A request that found no place is looked at again when another kind of upstream is free, or after this. */
const BLOCKED_MS = 250;

/** Finds the first waiting request that can start, and where. */
export class NextStart {
  readonly #options: NextStartOptions;

  constructor(options: NextStartOptions) {
    this.#options = options;
  }

  /** Takes the next request out of the queue; undefined when none can start. */
  take(now: Milliseconds): Start | undefined {
    const { queue, pool, suspects } = this.#options;
    if (queue.size === 0 || pool.free.size === 0) return undefined;
    let place: Place | undefined;
    const waiting = queue.take((candidate): Acceptance => {
      const verdict = suspects.verdict(candidate.ask.fingerprint, now);
      if (verdict.kind === "convicted") return "start";
      const acceptance = this.#checkBefore(candidate, now);
      if (acceptance !== undefined) return acceptance;
      place = this.#findPlace(candidate, verdict, now);
      if (place !== undefined) return "start";
      candidate.blockedKinds = pool.free.kinds;
      candidate.blockedUntil = now + BLOCKED_MS;
      return "blocked";
    });
    if (waiting === undefined) return undefined;
    if (place === undefined) return { kind: "convicted", waiting };
    return { kind: "place", waiting, place };
  }

  /** Why a request need not be looked at closely. */
  #checkBefore(
    { ask, blockedKinds, blockedUntil }: Waiting,
    now: Milliseconds,
  ): Acceptance | undefined {
    const { limits, pool } = this.#options;
    if (!limits.mayStart(ask.account)) return "account-blocked";
    const isStillBlocked = now < blockedUntil &&
      (pool.free.kinds & ~blockedKinds) === 0;
    return isStillBlocked ? "still-blocked" : undefined;
  }

  #findPlace(
    waiting: Waiting,
    verdict: Verdict,
    now: Milliseconds,
  ): Place | undefined {
    const { pool, queue, distributions, policy } = this.#options;
    return findPlace(pool, {
      waiting,
      lengths: distributions.get(waiting.ask.request)!,
      isSuspect: verdict.kind === "suspect",
      leastProbability: this.#leastProbability(waiting, now),
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
    { ask: { tier }, since }: Waiting,
    now: Milliseconds,
  ): number {
    const { queue, policy } = this.#options;
    const targets = targetsOf(tier, policy().tiers);
    const isContended = (queue.lowestTier() ?? tier) > tier &&
      now - since >= targets.patienceMs;
    return isContended ? targets.contendedWaitBelow : targets.waitBelow;
  }
}
