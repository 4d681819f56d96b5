import type {
  HostId,
  Milliseconds,
  Random,
  RequestId,
} from "@wasabivane/common";
import { AdmissionControl, createRefusal } from "./admissionControl.ts";
import { AccountLimits } from "./accountLimits.ts";
import type { QueuedRequest } from "./accountQueue.ts";
import { NO_UPSTREAM_RETRY_MS } from "./constants.ts";
import { DrainRate } from "./drainRate.ts";
import {
  type OutputLengthDistribution,
  OutputLengthEstimator,
} from "./outputLengthEstimator.ts";
import { QueueDispatcher } from "./queueDispatcher.ts";
import type { SelectedUpstream } from "./upstreamSelection.ts";
import { PaceAllocator } from "./paceAllocator.ts";
import {
  type InFlightAttempt,
  Scheduler,
  type SchedulerStatus,
} from "./scheduler.ts";
import { ServiceTime } from "./serviceTime.ts";
import type { TokenTimes } from "./speedEstimator.ts";
import { PoisonAttemptTracker } from "./poisonAttemptTracker.ts";
import {
  type PoisonRecord,
  PoisonRequestDetector,
} from "./poisonRequestDetector.ts";
import type {
  AttemptReport,
  CacheEvent,
  Decision,
  LoadReport,
  PlacementRequest,
  PoolPolicy,
} from "./types.ts";
import { UpstreamPool } from "./upstreamPool.ts";
import { tierTargetsOf } from "./tierTargets.ts";
import type { PoolAttempt } from "./upstreamState.ts";
import { WaitQueue } from "./waitQueue.ts";

/** Options of a {@link PoolScheduler}. */
export interface PoolSchedulerOptions {
  readonly random: Random;
  /** Times by generation, used until responses were observed. */
  readonly generationTimes?: Readonly<Record<string, TokenTimes>>;
}

const PACE_UPDATE_PERIOD_MS = 500;

/**
 * Schedules the requests of a pool by their tiers, deadlines and account
 * limits. {@link AdmissionControl} refuses requests on arrival,
 * {@link WaitQueue} orders the waiting ones, {@link QueueDispatcher} selects
 * the next one and its upstream, and {@link UpstreamPool} limits the requests
 * in flight at each upstream.
 */
export class PoolScheduler extends Scheduler {
  readonly #pool: UpstreamPool;
  readonly #queue: WaitQueue;
  readonly #limits: AccountLimits;
  readonly #lengthEstimator = new OutputLengthEstimator();
  readonly #poisonRequests = new PoisonRequestDetector();
  readonly #poisonAttempts = new PoisonAttemptTracker(this.#poisonRequests);
  readonly #drainRate = new DrainRate();
  readonly #paceAllocator = new PaceAllocator();
  #paceLimitsUpdatedAt: Milliseconds = -Infinity;
  readonly #attempts = new Map<RequestId, PoolAttempt>();
  readonly #outputLengths = new Map<RequestId, OutputLengthDistribution>();
  readonly #serviceTime: ServiceTime;
  readonly #admissionControl: AdmissionControl;
  readonly #dispatcher: QueueDispatcher;
  #policy: PoolPolicy;

  constructor(policy: PoolPolicy, options: PoolSchedulerOptions) {
    super();
    this.#policy = policy;
    this.#pool = new UpstreamPool(policy, options);
    this.#limits = new AccountLimits(policy.accounts);
    this.#queue = new WaitQueue({
      maximumTokens: policy.maximumWaitingTokens,
      maximumBytes: policy.maximumWaitingBytes,
    });
    this.#serviceTime = new ServiceTime(this.#pool);
    this.#dispatcher = new QueueDispatcher({
      pool: this.#pool,
      queue: this.#queue,
      limits: this.#limits,
      poisonRequests: this.#poisonRequests,
      outputLengths: this.#outputLengths,
      policy: () => this.#policy,
    });
    this.#admissionControl = new AdmissionControl({
      pool: this.#pool,
      queue: this.#queue,
      limits: this.#limits,
      poisonRequests: this.#poisonRequests,
      drainRate: this.#drainRate,
      serviceTime: this.#serviceTime,
    });
  }

  override setPolicy(policy: PoolPolicy, now: Milliseconds): Decision[] {
    this.#policy = policy;
    this.#pool.configure(policy);
    this.#limits.setPolicies(policy.accounts, now);
    this.#queue.setLimits(
      policy.maximumWaitingTokens,
      policy.maximumWaitingBytes,
    );
    const refused = this.#pool.hasActiveUpstreams
      ? []
      : this.#refuseAllWaiting();
    return [...refused, ...this.#grantWaiting(now)];
  }

  override submit(
    placementRequest: PlacementRequest,
    now: Milliseconds,
  ): Decision[] {
    // A request may be delivered twice but must be granted only once.
    if (this.#isActive(placementRequest.request)) return [];
    const refusal = this.#admissionControl.refuseImmediately(
      placementRequest,
      now,
    );
    if (refusal !== undefined) return [refusal];
    const lengths = this.#lengthEstimator.distribution(placementRequest);
    const expectedTokens = placementRequest.promptTokens + lengths.mean();
    this.#outputLengths.set(placementRequest.request, lengths);
    const { paceQuantile } = tierTargetsOf(
      placementRequest.tier,
      this.#policy.tiers,
    );
    this.#paceAllocator.recordArrival({
      tier: placementRequest.tier,
      remaining: placementRequest.deadline - now,
      meanOutputTokens: lengths.mean(),
      longOutputTokens: lengths.quantile(paceQuantile),
    }, now);
    const latestStart = this.#latestStart(placementRequest);
    const details = { lengths, expectedTokens, latestStart, now };
    const unreachable = this.#admissionControl.refuseUnreachable(
      placementRequest,
      details,
    );
    if (unreachable !== undefined) {
      this.#outputLengths.delete(placementRequest.request);
      return [unreachable];
    }
    this.#limits.charge(placementRequest, expectedTokens);
    const shed = this.#queue.push(placementRequest, {
      now,
      expectedTokens,
      expectedMs: this.#serviceTime.expected(placementRequest, lengths.mean()),
      costMs: this.#serviceTime.cost(placementRequest, lengths.mean(), now),
      latestStart,
    });
    const decisions = shed.map((queued) =>
      this.#refuseWaiting(queued, "shed", now)
    );
    return [...decisions, ...this.#grantWaiting(now)];
  }

  override withdraw(request: RequestId, _now: Milliseconds): boolean {
    const queued = this.#queue.remove(request);
    if (queued === undefined) return false;
    this.#releaseWaiting(queued);
    return true;
  }

  override recordFirstToken(request: RequestId, now: Milliseconds): void {
    const attempt = this.#attempts.get(request);
    if (attempt !== undefined) this.#pool.recordFirstToken(attempt, now);
  }

  override finish(report: AttemptReport, now: Milliseconds): Decision[] {
    const attempt = this.#attempts.get(report.request);
    if (attempt === undefined) return [];
    this.#attempts.delete(report.request);
    this.#poisonAttempts.recordEnd(attempt, report, now);
    this.#pool.recordEnd(attempt, report, now);
    this.#recordUsage(attempt, report);
    return this.#grantWaiting(now);
  }

  override adopt(
    { placementRequest, upstream, grantedAt, hasFirstToken }: InFlightAttempt,
    now: Milliseconds,
  ): void {
    const state = this.#pool.states.get(upstream);
    if (state === undefined || this.#attempts.has(placementRequest.request)) {
      return;
    }
    const attempt = state.add(placementRequest, {
      now: grantedAt,
      uncachedTokens: placementRequest.promptTokens,
      expectedTokens: placementRequest.promptTokens +
        this.#lengthEstimator.distribution(placementRequest).mean(),
    });
    if (hasFirstToken) state.recordPrefill(attempt, now);
    this.#poisonAttempts.recordStart(attempt, now);
    this.#attempts.set(placementRequest.request, attempt);
    this.#limits.recordAdoption(placementRequest.account);
    this.#pool.refreshAvailability(state);
  }

  override dropOrigin(origin: HostId, now: Milliseconds): Decision[] {
    for (const queued of this.#queue.removeAll(origin)) {
      this.#releaseWaiting(queued);
    }
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.placementRequest.origin !== origin) continue;
      this.#attempts.delete(attempt.placementRequest.request);
      attempt.state.remove(attempt);
      this.#pool.refreshAvailability(attempt.state);
      this.#limits.recordEnd(attempt.placementRequest.account, {
        chargedTokens: attempt.expectedTokens,
        usedTokens: attempt.expectedTokens,
      });
    }
    return this.#grantWaiting(now);
  }

  override applyLoadReport(report: LoadReport, _now: Milliseconds): Decision[] {
    this.#pool.applyLoadReport(report);
    return [];
  }

  override applyCacheEvent(event: CacheEvent, now: Milliseconds): void {
    this.#pool.cache.applyEvent(event, now);
  }

  override setCapacityShare(share: number, now: Milliseconds): Decision[] {
    this.#pool.setCapacityShare(share);
    this.#limits.setCapacityShare(share, now);
    return this.#grantWaiting(now);
  }

  override tick(now: Milliseconds): Decision[] {
    this.#pool.tick(now);
    if (now - this.#paceLimitsUpdatedAt >= PACE_UPDATE_PERIOD_MS) {
      this.#paceLimitsUpdatedAt = now;
      this.#pool.assignPaceLimits(this.#paceAllocator, now);
      this.#queue.updateLatestStarts(({ placementRequest }) =>
        this.#latestStart(placementRequest)
      );
    }
    const decisions = this.#queue.removeExpired(now).map((queued) =>
      this.#refuseWaiting(queued, "deadline-unreachable", now)
    );
    decisions.push(...this.#grantWaiting(now));
    this.#drainRate.closePeriod(this.#queue.size > 0, now);
    return decisions;
  }

  override importPoisonRecords(
    records: readonly PoisonRecord[],
    now: Milliseconds,
  ): void {
    this.#poisonRequests.importRecords(records, now);
  }

  override exportPoisonRecords(now: Milliseconds): PoisonRecord[] {
    return this.#poisonRequests.exportRecords(now);
  }

  override drainPoisonRecords(now: Milliseconds): PoisonRecord[] {
    return this.#poisonRequests.drainChangedRecords(now);
  }

  override status(): SchedulerStatus {
    return {
      waiting: this.#queue.counts(),
      upstreams: [...this.#pool.states.values()].map((state) => ({
        upstream: state.description.upstream,
        inFlight: state.attempts.size,
        bound: state.requestLimit(this.#pool.capacityShare),
        isEjected: state.isEjected,
        isLeaving: state.description.isLeaving,
      })),
    };
  }

  #isActive(request: RequestId): boolean {
    return this.#outputLengths.has(request) || this.#attempts.has(request);
  }

  #grantWaiting(now: Milliseconds): Decision[] {
    const decisions: Decision[] = [];
    let result = this.#dispatcher.next(now);
    while (result !== undefined) {
      decisions.push(
        result.kind === "start"
          ? this.#grant(result.queued, result.selected, now)
          : this.#refuseQuarantined(result.queued, now),
      );
      result = this.#dispatcher.next(now);
    }
    return decisions;
  }

  /** Refuses a request whose content was quarantined while it waited. */
  #refuseQuarantined(queued: QueuedRequest, now: Milliseconds): Decision {
    this.#releaseWaiting(queued);
    return this.#admissionControl.refuseImmediately(
      queued.placementRequest,
      now,
    )!;
  }

  /** Returns the latest start at the current upstream speeds. */
  #latestStart(placementRequest: PlacementRequest): Milliseconds {
    const { abandonBelow } = tierTargetsOf(
      placementRequest.tier,
      this.#policy.tiers,
    );
    return this.#serviceTime.latestStart(placementRequest, {
      lengths: this.#outputLengths.get(placementRequest.request)!,
      probability: abandonBelow,
    });
  }

  #grant(
    queued: QueuedRequest,
    selected: SelectedUpstream,
    now: Milliseconds,
  ): Decision {
    const { placementRequest, expectedTokens } = queued;
    const { state, cachedTokens } = selected;
    this.#outputLengths.delete(placementRequest.request);
    const attempt = state.add(placementRequest, {
      now,
      uncachedTokens: placementRequest.promptTokens - cachedTokens,
      expectedTokens,
    });
    this.#poisonAttempts.recordStart(attempt, now);
    this.#attempts.set(placementRequest.request, attempt);
    this.#limits.recordStart(placementRequest.account);
    this.#drainRate.recordGrant(expectedTokens);
    this.#pool.recordGrant(attempt);
    return {
      kind: "grant",
      placementRequest,
      upstream: state.description.upstream,
      expectedCachedTokens: cachedTokens,
    };
  }

  /** Refuses all waiting requests when no active upstream is left. */
  #refuseAllWaiting(): Decision[] {
    return this.#queue.removeAll().map((queued) => {
      this.#releaseWaiting(queued);
      return createRefusal(
        queued.placementRequest,
        "no-upstream",
        NO_UPSTREAM_RETRY_MS,
      );
    });
  }

  #recordUsage(attempt: PoolAttempt, report: AttemptReport): void {
    const { placementRequest, expectedTokens } = attempt;
    const usedTokens = placementRequest.promptTokens + report.outputTokens;
    this.#limits.recordEnd(placementRequest.account, {
      chargedTokens: expectedTokens,
      usedTokens,
    });
    this.#queue.correctServedTokens(
      placementRequest.tier,
      placementRequest.account,
      usedTokens - expectedTokens,
    );
    this.#lengthEstimator.observe({
      account: placementRequest.account,
      tier: placementRequest.tier,
      outputTokens: report.outputTokens,
      isComplete: report.outcome === "whole",
    });
  }

  #releaseWaiting(
    { placementRequest, expectedTokens }: QueuedRequest,
  ): void {
    this.#outputLengths.delete(placementRequest.request);
    this.#limits.refund(placementRequest, expectedTokens);
  }

  #refuseWaiting(
    queued: QueuedRequest,
    reason: "shed" | "deadline-unreachable",
    now: Milliseconds,
  ): Decision {
    this.#releaseWaiting(queued);
    const retryAfter = this.#admissionControl.queueRetryAfter();
    return {
      kind: "refuse",
      placementRequest: queued.placementRequest,
      reason,
      retryAfter,
      estimate: now - queued.enqueuedAt + retryAfter + queued.expectedMs,
    };
  }
}
