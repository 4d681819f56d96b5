import type {
  HostId,
  Milliseconds,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import { NO_UPSTREAM_RETRY_MS } from "./constants.ts";
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

/**
 * Schedules round robin, as a baseline for `PoolScheduler`: every request is
 * granted on arrival, without queue or limits.
 */
export class RoundRobinScheduler extends Scheduler {
  readonly #running = new RunningAttempts();
  #policy: PoolPolicy;
  #activeUpstreams: UpstreamId[] = [];
  #nextIndex = 0;

  constructor(policy: PoolPolicy) {
    super();
    this.#policy = policy;
    this.#updateActiveUpstreams();
  }

  override setPolicy(policy: PoolPolicy, _now: Milliseconds): Decision[] {
    this.#policy = policy;
    this.#updateActiveUpstreams();
    return [];
  }

  override submit(
    placementRequest: PlacementRequest,
    now: Milliseconds,
  ): Decision[] {
    if (this.#activeUpstreams.length === 0) {
      return [{
        kind: "refuse",
        placementRequest,
        reason: "no-upstream",
        retryAfter: NO_UPSTREAM_RETRY_MS,
      }];
    }
    const upstream = this
      .#activeUpstreams[this.#nextIndex++ % this.#activeUpstreams.length]!;
    this.#running.grant(placementRequest, upstream, now);
    return [{
      kind: "grant",
      placementRequest,
      upstream,
      expectedCachedTokens: 0,
    }];
  }

  override withdraw(_request: RequestId, _now: Milliseconds): boolean {
    return false;
  }

  override recordFirstToken(_request: RequestId, _now: Milliseconds): void {}

  override finish(report: AttemptReport, _now: Milliseconds): Decision[] {
    this.#running.remove(report.request);
    return [];
  }

  override adopt(attempt: InFlightAttempt, _now: Milliseconds): void {
    this.#running.add(attempt);
  }

  override dropOrigin(origin: HostId, _now: Milliseconds): Decision[] {
    for (const { placementRequest } of this.#running.ofOrigin(origin)) {
      this.#running.remove(placementRequest.request);
    }
    return [];
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

  override tick(_now: Milliseconds): Decision[] {
    return [];
  }

  override status(): SchedulerStatus {
    return {
      waiting: [],
      upstreams: this.#policy.upstreams.map(({ upstream, isLeaving }) => ({
        upstream,
        inFlight: this.#running.count(upstream),
        bound: this.#policy.maximumConcurrency,
        isEjected: false,
        isLeaving,
      })),
    };
  }

  #updateActiveUpstreams(): void {
    this.#activeUpstreams = this.#policy.upstreams
      .filter(({ isLeaving }) => !isLeaving)
      .map(({ upstream }) => upstream);
  }
}
