import type {
  HostId,
  Milliseconds,
  Random,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import {
  NO_UPSTREAM_RETRY_MS,
  QUEUE_FULL_RETRY_MS,
  QUEUE_LIMIT_PER_UPSTREAM,
} from "./constants.ts";
import { RunningAttempts } from "./runningAttempts.ts";
import {
  type InFlightAttempt,
  Scheduler,
  type SchedulerStatus,
} from "./scheduler.ts";
import type {
  AttemptReport,
  CacheEvent,
  Decision,
  LoadReport,
  PlacementRequest,
  PoolPolicy,
} from "./types.ts";

/** Options of a {@link LeastOutstandingScheduler}. */
export interface LeastOutstandingSchedulerOptions {
  readonly random: Random;
  /** Maximum waiting requests for each upstream; more are refused. */
  readonly queueLimitPerUpstream?: number;
}

/**
 * Schedules like a common proxy, as a baseline for `PoolScheduler`: it picks
 * two upstreams at random and grants the one with fewer requests in flight.
 * Upstreams have a fixed concurrency limit and share one queue, and requests
 * are refused when it is full. Tiers, lengths and speeds are ignored.
 */
export class LeastOutstandingScheduler extends Scheduler {
  readonly #running = new RunningAttempts();
  readonly #random: Random;
  readonly #queueLimitPerUpstream: number;
  #waiting: PlacementRequest[] = [];
  #policy: PoolPolicy;
  #activeUpstreams: UpstreamId[] = [];

  constructor(
    policy: PoolPolicy,
    {
      random,
      queueLimitPerUpstream = QUEUE_LIMIT_PER_UPSTREAM,
    }: LeastOutstandingSchedulerOptions,
  ) {
    super();
    this.#policy = policy;
    this.#random = random;
    this.#queueLimitPerUpstream = queueLimitPerUpstream;
    this.#updateActiveUpstreams();
  }

  override setPolicy(policy: PoolPolicy, now: Milliseconds): Decision[] {
    this.#policy = policy;
    this.#updateActiveUpstreams();
    return this.#grantWaiting(now);
  }

  override submit(
    placementRequest: PlacementRequest,
    now: Milliseconds,
  ): Decision[] {
    if (this.#activeUpstreams.length === 0) {
      return [
        createRefusal(placementRequest, "no-upstream", NO_UPSTREAM_RETRY_MS),
      ];
    }
    if (
      this.#waiting.length >=
        this.#queueLimitPerUpstream * this.#activeUpstreams.length
    ) {
      return [createRefusal(placementRequest, "shed", QUEUE_FULL_RETRY_MS)];
    }
    this.#waiting.push(placementRequest);
    return this.#grantWaiting(now);
  }

  override withdraw(request: RequestId, _now: Milliseconds): boolean {
    const index = this.#waiting.findIndex((waiting) =>
      waiting.request === request
    );
    if (index < 0) return false;
    this.#waiting.splice(index, 1);
    return true;
  }

  override recordFirstToken(_request: RequestId, _now: Milliseconds): void {}

  override finish(report: AttemptReport, now: Milliseconds): Decision[] {
    this.#running.remove(report.request);
    return this.#grantWaiting(now);
  }

  override adopt(attempt: InFlightAttempt, _now: Milliseconds): void {
    this.#running.add(attempt);
  }

  override dropOrigin(origin: HostId, now: Milliseconds): Decision[] {
    this.#waiting = this.#waiting.filter((waiting) =>
      waiting.origin !== origin
    );
    for (const { placementRequest } of this.#running.ofOrigin(origin)) {
      this.#running.remove(placementRequest.request);
    }
    return this.#grantWaiting(now);
  }

  override applyLoadReport(
    _report: LoadReport,
    _now: Milliseconds,
  ): Decision[] {
    return [];
  }

  override applyCacheEvent(_event: CacheEvent, _now: Milliseconds): void {}

  override setCapacityShare(_share: number, _now: Milliseconds): Decision[] {
    return [];
  }

  override tick(now: Milliseconds): Decision[] {
    return this.#grantWaiting(now);
  }

  override status(): SchedulerStatus {
    return {
      waiting: this.#waiting.map(({ tier, account }) => ({
        tier,
        account,
        requests: 1,
      })),
      upstreams: this.#policy.upstreams.map(({ upstream, isLeaving }) => ({
        upstream,
        inFlight: this.#running.count(upstream),
        bound: this.#policy.maximumConcurrency,
        isEjected: false,
        isLeaving,
      })),
    };
  }

  #grantWaiting(now: Milliseconds): Decision[] {
    const decisions: Decision[] = [];
    while (this.#waiting.length > 0) {
      const upstream = this.#pickUpstream();
      if (upstream === undefined) break;
      const placementRequest = this.#waiting.shift()!;
      this.#running.grant(placementRequest, upstream, now);
      decisions.push({
        kind: "grant",
        placementRequest,
        upstream,
        expectedCachedTokens: 0,
      });
    }
    return decisions;
  }

  #pickUpstream(): UpstreamId | undefined {
    const free = this.#activeUpstreams.filter((upstream) =>
      this.#running.count(upstream) < this.#policy.maximumConcurrency
    );
    if (free.length === 0) return undefined;
    const first = this.#random.pick(free);
    const second = this.#random.pick(free);
    return this.#running.count(first) <= this.#running.count(second)
      ? first
      : second;
  }

  #updateActiveUpstreams(): void {
    this.#activeUpstreams = this.#policy.upstreams
      .filter(({ isLeaving }) => !isLeaving)
      .map(({ upstream }) => upstream);
  }
}

function createRefusal(
  placementRequest: PlacementRequest,
  reason: "no-upstream" | "shed",
  retryAfter: Milliseconds,
): Decision {
  return { kind: "refuse", placementRequest, reason, retryAfter };
}
