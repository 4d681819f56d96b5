import type {
  HostId,
  Milliseconds,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import { REFUSED_WITHOUT_UPSTREAM_RETRY_MS } from "./constants.ts";
import { RunningAttempts } from "./runningAttempts.ts";
import {
  type InFlightAttempt,
  Scheduler,
  type SchedulerStatus,
} from "./scheduler.ts";
import type {
  Ask,
  AttemptReport,
  CacheEvent,
  Decision,
  LoadReport,
  PoolPolicy,
} from "./types.ts";

/**
 * The obvious scheduler, kept as the naive twin of `PoolScheduler`: round robin,
 * first come first served, no bounds. Under overload every engine queues
 * without limit, answers come after their deadlines and their prefill is wasted.
 */
export class FirstComeScheduler extends Scheduler {
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

  override ask(ask: Ask, now: Milliseconds): Decision[] {
    if (this.#targets.length === 0) {
      return [{
        kind: "refuse",
        ask,
        reason: "no-upstream",
        retryAfter: REFUSED_WITHOUT_UPSTREAM_RETRY_MS,
      }];
    }
    const upstream = this.#targets[this.#turn++ % this.#targets.length]!;
    this.#running.grant(ask, upstream, now);
    return [{ kind: "grant", ask, upstream, expectedCachedTokens: 0 }];
  }

  override withdraw(_request: RequestId, _now: Milliseconds): boolean {
    return false;
  }

  override firstToken(_request: RequestId, _now: Milliseconds): void {}

  override finish(report: AttemptReport, _now: Milliseconds): Decision[] {
    this.#running.remove(report.request);
    return [];
  }

  override adopt(attempt: InFlightAttempt, _now: Milliseconds): void {
    this.#running.add(attempt);
  }

  override dropOrigin(origin: HostId, _now: Milliseconds): Decision[] {
    for (const { ask } of this.#running.ofOrigin(origin)) {
      this.#running.remove(ask.request);
    }
    return [];
  }

  override reportLoad(_report: LoadReport, _now: Milliseconds): Decision[] {
    return [];
  }

  override reportCache(_event: CacheEvent, _now: Milliseconds): void {}

  override setShare(_share: number, _now: Milliseconds): Decision[] {
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
