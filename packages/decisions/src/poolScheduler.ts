import type {
  HostId,
  Milliseconds,
  Random,
  RequestId,
} from "@wasabivane/common";
import { Admission, refuse } from "./admission.ts";
import { AccountLimits } from "./accountLimits.ts";
import type { Waiting } from "./accountLane.ts";
import { REFUSED_WITHOUT_UPSTREAM_RETRY_MS } from "./constants.ts";
import { DrainRate } from "./drainRate.ts";
import { type LengthDistribution, LengthEstimate } from "./lengthEstimate.ts";
import { NextStart } from "./nextStart.ts";
import type { Place } from "./placement.ts";
import { PaceLadder } from "./paceLadder.ts";
import {
  type InFlightAttempt,
  Scheduler,
  type SchedulerStatus,
} from "./scheduler.ts";
import { ServiceTime } from "./serviceTime.ts";
import type { TokenTimes } from "./speedEstimate.ts";
import { SuspectRuns } from "./suspectRuns.ts";
import { Suspects, type Suspicion } from "./suspects.ts";
import type {
  Ask,
  AttemptReport,
  CacheEvent,
  Decision,
  LoadReport,
  PoolPolicy,
} from "./types.ts";
import { UpstreamPool } from "./upstreamPool.ts";
import { targetsOf } from "./tierTargets.ts";
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
 * nothing that one of them could. {@link Admission} refuses on arrival,
 * {@link WaitQueue} keeps the order, {@link NextStart} finds who starts where, and
 * {@link UpstreamPool} learns how much each upstream may run.
 */
export class PoolScheduler extends Scheduler {
  readonly #pool: UpstreamPool;
  readonly #queue: WaitQueue;
  readonly #limits: AccountLimits;
  readonly #lengths = new LengthEstimate();
  readonly #suspects = new Suspects();
  readonly #suspectRuns = new SuspectRuns(this.#suspects);
  readonly #drain = new DrainRate();
  readonly #ladder = new PaceLadder();
  #pacedAt: Milliseconds = -Infinity;
  readonly #attempts = new Map<RequestId, PoolAttempt>();
  readonly #distributions = new Map<RequestId, LengthDistribution>();
  readonly #serviceTime: ServiceTime;
  readonly #admission: Admission;
  readonly #nextStart: NextStart;
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
    this.#nextStart = new NextStart({
      pool: this.#pool,
      queue: this.#queue,
      limits: this.#limits,
      suspects: this.#suspects,
      distributions: this.#distributions,
      policy: () => this.#policy,
    });
    this.#admission = new Admission({
      pool: this.#pool,
      queue: this.#queue,
      limits: this.#limits,
      suspects: this.#suspects,
      drain: this.#drain,
      serviceTime: this.#serviceTime,
    });
  }

  override setPolicy(policy: PoolPolicy, now: Milliseconds): Decision[] {
    this.#policy = policy;
    this.#pool.configure(policy);
    this.#limits.setPolicies(policy.accounts, now);
    this.#queue.setBounds(
      policy.maximumWaitingTokens,
      policy.maximumWaitingBytes,
    );
    const refused = this.#pool.hasTargets ? [] : this.#refuseAllWaiting();
    return [...refused, ...this.#grantWaiting(now)];
  }

  override ask(ask: Ask, now: Milliseconds): Decision[] {
    // An ask that was delivered twice must not be granted twice.
    if (this.#isKnown(ask.request)) return [];
    const refusal = this.#admission.refuseAtOnce(ask, now);
    if (refusal !== undefined) return [refusal];
    const lengths = this.#lengths.distribution(ask);
    const expectedTokens = ask.promptTokens + lengths.mean();
    this.#distributions.set(ask.request, lengths);
    const { longQuantile } = targetsOf(ask.tier, this.#policy.tiers);
    this.#ladder.asked({
      tier: ask.tier,
      remaining: ask.deadline - now,
      meanOutputTokens: lengths.mean(),
      longOutputTokens: lengths.quantile(longQuantile),
    }, now);
    const latestStart = this.#latestStart(ask);
    const details = { lengths, expectedTokens, latestStart, now };
    const late = this.#admission.refuseLate(ask, details);
    if (late !== undefined) {
      this.#distributions.delete(ask.request);
      return [late];
    }
    this.#limits.admit(ask, expectedTokens);
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

  override firstToken(request: RequestId, now: Milliseconds): void {
    const attempt = this.#attempts.get(request);
    if (attempt !== undefined) this.#pool.firstToken(attempt, now);
  }

  override finish(report: AttemptReport, now: Milliseconds): Decision[] {
    const attempt = this.#attempts.get(report.request);
    if (attempt === undefined) return [];
    this.#attempts.delete(report.request);
    this.#suspectRuns.ended(attempt, report, now);
    this.#pool.ended(attempt, report, now);
    this.#settle(attempt, report);
    return this.#grantWaiting(now);
  }

  override adopt(
    { ask, upstream, grantedAt, hasFirstToken }: InFlightAttempt,
    now: Milliseconds,
  ): void {
    const state = this.#pool.states.get(upstream);
    if (state === undefined || this.#attempts.has(ask.request)) return;
    const attempt = state.add(ask, {
      now: grantedAt,
      uncachedTokens: ask.promptTokens,
      expectedTokens: ask.promptTokens + this.#lengths.distribution(ask).mean(),
    });
    if (hasFirstToken) state.prefilled(attempt, now);
    this.#suspectRuns.started(attempt, now);
    this.#attempts.set(ask.request, attempt);
    this.#limits.adopt(ask.account);
    this.#pool.refresh(state);
  }

  override dropOrigin(origin: HostId, now: Milliseconds): Decision[] {
    for (const waiting of this.#queue.removeAll(origin)) {
      this.#leaveQueue(waiting);
    }
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.ask.origin !== origin) continue;
      this.#attempts.delete(attempt.ask.request);
      attempt.state.remove(attempt);
      this.#pool.refresh(attempt.state);
      this.#limits.end(attempt.ask.account, {
        chargedTokens: attempt.expectedTokens,
        usedTokens: attempt.expectedTokens,
      });
    }
    return this.#grantWaiting(now);
  }

  override reportLoad(report: LoadReport, _now: Milliseconds): Decision[] {
    this.#pool.reportLoad(report);
    return [];
  }

  override reportCache(event: CacheEvent, now: Milliseconds): void {
    this.#pool.cache.apply(event, now);
  }

  override setShare(share: number, now: Milliseconds): Decision[] {
    this.#pool.setShare(share);
    this.#limits.setShare(share, now);
    return this.#grantWaiting(now);
  }

  override tick(now: Milliseconds): Decision[] {
    this.#pool.tick(now);
    if (now - this.#pacedAt >= PACE_PERIOD_MS) {
      this.#pacedAt = now;
      this.#pool.assignPaces(this.#ladder, now);
      this.#queue.reviseLatestStarts(({ ask }) => this.#latestStart(ask));
    }
    const decisions = this.#queue.removeLate(now).map((waiting) =>
      this.#giveUp(waiting, "deadline-unreachable", now)
    );
    decisions.push(...this.#grantWaiting(now));
    this.#drain.close(this.#queue.size > 0, now);
    return decisions;
  }

  override importSuspicions(
    suspicions: readonly Suspicion[],
    now: Milliseconds,
  ): void {
    this.#suspects.importSuspicions(suspicions, now);
  }

  override exportSuspicions(now: Milliseconds): Suspicion[] {
    return this.#suspects.exportSuspicions(now);
  }

  override drainSuspicions(now: Milliseconds): Suspicion[] {
    return this.#suspects.drainSuspicions(now);
  }

  override status(): SchedulerStatus {
    return {
      waiting: this.#queue.counts(),
      upstreams: [...this.#pool.states.values()].map((state) => ({
        upstream: state.description.upstream,
        inFlight: state.attempts.size,
        bound: state.requestBound(this.#pool.share),
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
    let start = this.#nextStart.take(now);
    while (start !== undefined) {
      decisions.push(
        start.kind === "place"
          ? this.#grant(start.waiting, start.place, now)
          : this.#refuseConvicted(start.waiting, now),
      );
      start = this.#nextStart.take(now);
    }
    return decisions;
  }

  /** Another copy of the request was convicted while this one waited. */
  #refuseConvicted(waiting: Waiting, now: Milliseconds): Decision {
    this.#leaveQueue(waiting);
    return this.#admission.refuseAtOnce(waiting.ask, now)!;
  }

  /** Upstreams turn slower or faster than they were when a request came. */
  #latestStart(ask: Ask): Milliseconds {
    const { giveUpBelow } = targetsOf(ask.tier, this.#policy.tiers);
    return this.#serviceTime.latestStart(ask, {
      lengths: this.#distributions.get(ask.request)!,
      probability: giveUpBelow,
    });
  }

  #grant(waiting: Waiting, place: Place, now: Milliseconds): Decision {
    const { ask, expectedTokens } = waiting;
    const { state, cachedTokens } = place;
    this.#distributions.delete(ask.request);
    const attempt = state.add(ask, {
      now,
      uncachedTokens: ask.promptTokens - cachedTokens,
      expectedTokens,
    });
    this.#suspectRuns.started(attempt, now);
    this.#attempts.set(ask.request, attempt);
    this.#limits.start(ask.account);
    this.#drain.granted(expectedTokens);
    this.#pool.granted(attempt);
    return {
      kind: "grant",
      ask,
      upstream: state.description.upstream,
      expectedCachedTokens: cachedTokens,
    };
  }

  /** Every upstream is leaving; no wait would help. */
  #refuseAllWaiting(): Decision[] {
    return this.#queue.removeAll().map((waiting) => {
      this.#leaveQueue(waiting);
      return refuse(
        waiting.ask,
        "no-upstream",
        REFUSED_WITHOUT_UPSTREAM_RETRY_MS,
      );
    });
  }

  #settle(attempt: PoolAttempt, report: AttemptReport): void {
    const { ask, expectedTokens } = attempt;
    const usedTokens = ask.promptTokens + report.outputTokens;
    this.#limits.end(ask.account, {
      chargedTokens: expectedTokens,
      usedTokens,
    });
    this.#queue.correctServed(
      ask.tier,
      ask.account,
      usedTokens - expectedTokens,
    );
    this.#lengths.observe({
      account: ask.account,
      tier: ask.tier,
      outputTokens: report.outputTokens,
      isWhole: report.outcome === "whole",
    });
  }

  #leaveQueue({ ask, expectedTokens }: Waiting): void {
    this.#distributions.delete(ask.request);
    this.#limits.leaveWaiting(ask, expectedTokens);
  }

  #giveUp(
    waiting: Waiting,
    reason: "shed" | "deadline-unreachable",
    now: Milliseconds,
  ): Decision {
    this.#leaveQueue(waiting);
    const retryAfter = this.#admission.retryAfterQueue();
    return {
      kind: "refuse",
      ask: waiting.ask,
      reason,
      retryAfter,
      estimate: now - waiting.since + retryAfter + waiting.expectedMs,
    };
  }
}
