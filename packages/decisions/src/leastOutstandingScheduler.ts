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
  /** Waiting requests for each upstream; more are refused. */
  readonly queueLimitPerUpstream?: number;
}

/**
 * The customary proxy: two upstreams at random, the one with fewer requests in
 * flight, a fixed bound on each and a fixed queue before all. It knows neither
 * tiers nor lengths nor speeds, so a full queue refuses whoever comes next.
 */
export class LeastOutstandingScheduler extends Scheduler {
  readonly #running = new RunningAttempts();
  readonly #random: Random;
  readonly #queuePerUpstream: number;
  #waiting: PlacementRequest[] = [];
  #policy: PoolPolicy;
  #targets: UpstreamId[] = [];

  constructor(
    policy: PoolPolicy,
    {
      random,
      queueLimitPerUpstream: queuePerUpstream = QUEUE_LIMIT_PER_UPSTREAM,
    }: LeastOutstandingSchedulerOptions,
  ) {
    super();
    this.#policy = policy;
    this.#random = random;
    this.#queuePerUpstream = queuePerUpstream;
    this.#listTargets();
  }

  override setPolicy(policy: PoolPolicy, now: Milliseconds): Decision[] {
    this.#policy = policy;
    this.#listTargets();
    return this.#grantWaiting(now);
  }

  override submit(ask: PlacementRequest, now: Milliseconds): Decision[] {
    if (this.#targets.length === 0) {
      return [
        refusal(ask, "no-upstream", NO_UPSTREAM_RETRY_MS),
      ];
    }
    if (this.#waiting.length >= this.#queuePerUpstream * this.#targets.length) {
      return [refusal(ask, "shed", QUEUE_FULL_RETRY_MS)];
    }
    this.#waiting.push(ask);
    return this.#grantWaiting(now);
  }

  override withdraw(request: RequestId, _now: Milliseconds): boolean {
    const index = this.#waiting.findIndex((ask) => ask.request === request);
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
    this.#waiting = this.#waiting.filter((ask) => ask.origin !== origin);
    for (const { placementRequest: ask } of this.#running.ofOrigin(origin)) {
      this.#running.remove(ask.request);
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
      const upstream = this.#choose();
      if (upstream === undefined) break;
      const ask = this.#waiting.shift()!;
      this.#running.grant(ask, upstream, now);
      decisions.push({
        kind: "grant",
        placementRequest: ask,
        upstream,
        expectedCachedTokens: 0,
      });
    }
    return decisions;
  }

  #choose(): UpstreamId | undefined {
    const free = this.#targets.filter((upstream) =>
      this.#running.count(upstream) < this.#policy.maximumConcurrency
    );
    if (free.length === 0) return undefined;
    const first = this.#random.pick(free);
    const second = this.#random.pick(free);
    return this.#running.count(first) <= this.#running.count(second)
      ? first
      : second;
  }

  #listTargets(): void {
    this.#targets = this.#policy.upstreams
      .filter(({ isLeaving }) => !isLeaving)
      .map(({ upstream }) => upstream);
  }
}

function refusal(
  ask: PlacementRequest,
  reason: "no-upstream" | "shed",
  retryAfter: Milliseconds,
): Decision {
  return { kind: "refuse", placementRequest: ask, reason, retryAfter };
}
