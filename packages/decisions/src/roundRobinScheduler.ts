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
 * The obvious scheduler, kept as the naive twin of `PoolScheduler`: round robin,
 * first come first served, no bounds. Under overload every engine queues
 * without limit, answers come after their deadlines and their prefill is wasted.
 */
export class RoundRobinScheduler extends Scheduler {
  readonly #running = new RunningAttempts();
  #policy: PoolPolicy;
  #targets: UpstreamId[] = [];
  #turn = 0;

  constructor(policy: PoolPolicy) {
    super();
    this.#policy = policy;
    this.#listTargets();
  }

  override setPolicy(policy: PoolPolicy, _now: Milliseconds): Decision[] {
    this.#policy = policy;
    this.#listTargets();
    return [];
  }

  override submit(ask: PlacementRequest, now: Milliseconds): Decision[] {
    if (this.#targets.length === 0) {
      return [{
        kind: "refuse",
        placementRequest: ask,
        reason: "no-upstream",
        retryAfter: NO_UPSTREAM_RETRY_MS,
      }];
    }
    const upstream = this.#targets[this.#turn++ % this.#targets.length]!;
    this.#running.grant(ask, upstream, now);
    return [{
      kind: "grant",
      placementRequest: ask,
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
    for (const { placementRequest: ask } of this.#running.ofOrigin(origin)) {
      this.#running.remove(ask.request);
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

  #listTargets(): void {
    this.#targets = this.#policy.upstreams
      .filter(({ isLeaving }) => !isLeaving)
      .map(({ upstream }) => upstream);
  }
}
