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
  /** Known times of the generations, before any answer was seen. */
  readonly generationTimes?: Readonly<Record<string, TokenTimes>>;
}

const PACE_PERIOD_MS = 500;

/**
 * The scheduler of a pool: it composes the modules of this package and decides
 * nothing that one of them could. {@link AdmissionControl} refuses on arrival,
 * {@link WaitQueue} keeps the order, {@link QueueDispatcher} finds who starts where, and
 * {@link UpstreamPool} learns how much each upstream may run.
 */
export class PoolScheduler extends Scheduler {
  readonly #pool: UpstreamPool;
  readonly #queue: WaitQueue;
  readonly #limits: AccountLimits;
  readonly #lengths = new OutputLengthEstimator();
  readonly #suspects = new PoisonRequestDetector();
  readonly #suspectRuns = new PoisonAttemptTracker(this.#suspects);
  readonly #drain = new DrainRate();
  readonly #ladder = new PaceAllocator();
  #pacedAt: Milliseconds = -Infinity;
  readonly #attempts = new Map<RequestId, PoolAttempt>();
  readonly #distributions = new Map<RequestId, OutputLengthDistribution>();
  readonly #serviceTime: ServiceTime;
  readonly #admission: AdmissionControl;
  readonly #nextStart: QueueDispatcher;
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
    this.#nextStart = new QueueDispatcher({
      pool: this.#pool,
      queue: this.#queue,
      limits: this.#limits,
      poisonRequests: this.#suspects,
      outputLengths: this.#distributions,
      policy: () => this.#policy,
    });
    this.#admission = new AdmissionControl({
      pool: this.#pool,
      queue: this.#queue,
      limits: this.#limits,
      poisonRequests: this.#suspects,
      drainRate: this.#drain,
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

  override submit(ask: PlacementRequest, now: Milliseconds): Decision[] {
    // An ask that was delivered twice must not be granted twice.
    if (this.#isKnown(ask.request)) return [];
    const refusal = this.#admission.refuseImmediately(ask, now);
    if (refusal !== undefined) return [refusal];
    const lengths = this.#lengths.distribution(ask);
    const expectedTokens = ask.promptTokens + lengths.mean();
    this.#distributions.set(ask.request, lengths);
    const { paceQuantile: longQuantile } = tierTargetsOf(
      ask.tier,
      this.#policy.tiers,
    );
    this.#ladder.recordArrival({
      tier: ask.tier,
      remaining: ask.deadline - now,
      meanOutputTokens: lengths.mean(),
      longOutputTokens: lengths.quantile(longQuantile),
    }, now);
    const latestStart = this.#latestStart(ask);
    const details = { lengths, expectedTokens, latestStart, now };
    const late = this.#admission.refuseUnreachable(ask, details);
    if (late !== undefined) {
      this.#distributions.delete(ask.request);
      return [late];
    }
    this.#limits.charge(ask, expectedTokens);
    const shed = this.#queue.push(ask, {
      now,
      expectedTokens,
      expectedMs: this.#serviceTime.expected(ask, lengths.mean()),
      costMs: this.#serviceTime.cost(ask, lengths.mean(), now),
      latestStart,
    });
    const decisions = shed.map((waiting) => this.#giveUp(waiting, "shed", now));
    return [...decisions, ...this.#grantWaiting(now)];
  }

  override withdraw(request: RequestId, _now: Milliseconds): boolean {
    const waiting = this.#queue.remove(request);
    if (waiting === undefined) return false;
    this.#leaveQueue(waiting);
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
    this.#suspectRuns.recordEnd(attempt, report, now);
    this.#pool.recordEnd(attempt, report, now);
    this.#settle(attempt, report);
    return this.#grantWaiting(now);
  }

  override adopt(
    { placementRequest: ask, upstream, grantedAt, hasFirstToken }:
      InFlightAttempt,
    now: Milliseconds,
  ): void {
    const state = this.#pool.states.get(upstream);
    if (state === undefined || this.#attempts.has(ask.request)) return;
    const attempt = state.add(ask, {
      now: grantedAt,
      uncachedTokens: ask.promptTokens,
      expectedTokens: ask.promptTokens + this.#lengths.distribution(ask).mean(),
    });
    if (hasFirstToken) state.recordPrefill(attempt, now);
    this.#suspectRuns.recordStart(attempt, now);
    this.#attempts.set(ask.request, attempt);
    this.#limits.recordAdoption(ask.account);
    this.#pool.refreshAvailability(state);
  }

  override dropOrigin(origin: HostId, now: Milliseconds): Decision[] {
    for (const waiting of this.#queue.removeAll(origin)) {
      this.#leaveQueue(waiting);
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
    if (now - this.#pacedAt >= PACE_PERIOD_MS) {
      this.#pacedAt = now;
      this.#pool.assignPaceLimits(this.#ladder, now);
      this.#queue.updateLatestStarts(({ placementRequest: ask }) =>
        this.#latestStart(ask)
      );
    }
    const decisions = this.#queue.removeExpired(now).map((waiting) =>
      this.#giveUp(waiting, "deadline-unreachable", now)
    );
    decisions.push(...this.#grantWaiting(now));
    this.#drain.closePeriod(this.#queue.size > 0, now);
    return decisions;
  }

  override importPoisonRecords(
    suspicions: readonly PoisonRecord[],
    now: Milliseconds,
  ): void {
    this.#suspects.importRecords(suspicions, now);
  }

  override exportPoisonRecords(now: Milliseconds): PoisonRecord[] {
    return this.#suspects.exportRecords(now);
  }

  override drainPoisonRecords(now: Milliseconds): PoisonRecord[] {
    return this.#suspects.drainChangedRecords(now);
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

  #isKnown(request: RequestId): boolean {
    return this.#distributions.has(request) || this.#attempts.has(request);
  }

  #grantWaiting(now: Milliseconds): Decision[] {
    const decisions: Decision[] = [];
    let start = this.#nextStart.next(now);
    while (start !== undefined) {
      decisions.push(
        start.kind === "place"
          ? this.#grant(start.queued, start.selected, now)
          : this.#refuseConvicted(start.queued, now),
      );
      start = this.#nextStart.next(now);
    }
    return decisions;
  }

  /** Another copy of the request was convicted while this one waited. */
  #refuseConvicted(waiting: QueuedRequest, now: Milliseconds): Decision {
    this.#leaveQueue(waiting);
    return this.#admission.refuseImmediately(waiting.placementRequest, now)!;
  }

  /** Upstreams turn slower or faster than they were when a request came. */
  #latestStart(ask: PlacementRequest): Milliseconds {
    const { abandonBelow: giveUpBelow } = tierTargetsOf(
      ask.tier,
      this.#policy.tiers,
    );
    return this.#serviceTime.latestStart(ask, {
      lengths: this.#distributions.get(ask.request)!,
      probability: giveUpBelow,
    });
  }

  #grant(
    waiting: QueuedRequest,
    place: SelectedUpstream,
    now: Milliseconds,
  ): Decision {
    const { placementRequest: ask, expectedTokens } = waiting;
    const { state, cachedTokens } = place;
    this.#distributions.delete(ask.request);
    const attempt = state.add(ask, {
      now,
      uncachedTokens: ask.promptTokens - cachedTokens,
      expectedTokens,
    });
    this.#suspectRuns.recordStart(attempt, now);
    this.#attempts.set(ask.request, attempt);
    this.#limits.recordStart(ask.account);
    this.#drain.recordGrant(expectedTokens);
    this.#pool.recordGrant(attempt);
    return {
      kind: "grant",
      placementRequest: ask,
      upstream: state.description.upstream,
      expectedCachedTokens: cachedTokens,
    };
  }

  /** Every upstream is leaving; no wait would help. */
  #refuseAllWaiting(): Decision[] {
    return this.#queue.removeAll().map((waiting) => {
      this.#leaveQueue(waiting);
      return createRefusal(
        waiting.placementRequest,
        "no-upstream",
        NO_UPSTREAM_RETRY_MS,
      );
    });
  }

  #settle(attempt: PoolAttempt, report: AttemptReport): void {
    const { placementRequest: ask, expectedTokens } = attempt;
    const usedTokens = ask.promptTokens + report.outputTokens;
    this.#limits.recordEnd(ask.account, {
      chargedTokens: expectedTokens,
      usedTokens,
    });
    this.#queue.correctServedTokens(
      ask.tier,
      ask.account,
      usedTokens - expectedTokens,
    );
    this.#lengths.observe({
      account: ask.account,
      tier: ask.tier,
      outputTokens: report.outputTokens,
      isComplete: report.outcome === "whole",
    });
  }

  #leaveQueue({ placementRequest: ask, expectedTokens }: QueuedRequest): void {
    this.#distributions.delete(ask.request);
    this.#limits.refund(ask, expectedTokens);
  }

  #giveUp(
    waiting: QueuedRequest,
    reason: "shed" | "deadline-unreachable",
    now: Milliseconds,
  ): Decision {
    this.#leaveQueue(waiting);
    const retryAfter = this.#admission.queueRetryAfter();
    return {
      kind: "refuse",
      placementRequest: waiting.placementRequest,
      reason,
      retryAfter,
      estimate: now - waiting.enqueuedAt + retryAfter + waiting.expectedMs,
    };
  }
}
