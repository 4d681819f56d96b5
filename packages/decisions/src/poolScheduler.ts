import type {
  HostId,
  Milliseconds,
  Random,
  RequestId,
} from "@wasabivane/common";
import type { Acceptance } from "./waitQueue.ts";
import { AccountLimits } from "./accountLimits.ts";
import type { Waiting } from "./accountLane.ts";
import { REFUSED_WITHOUT_UPSTREAM_RETRY_MS } from "./constants.ts";
import { DrainRate } from "./drainRate.ts";
import { type LengthDistribution, LengthEstimate } from "./lengthEstimate.ts";
import { findPlace, type Place } from "./placement.ts";
import {
  type InFlightAttempt,
  Scheduler,
  type SchedulerStatus,
} from "./scheduler.ts";
import type { TokenTimes } from "./speedEstimate.ts";
import { Suspects, type Suspicion } from "./suspects.ts";
import type {
  Ask,
  AttemptReport,
  CacheEvent,
  Decision,
  LoadReport,
  PoolPolicy,
  RefusalReason,
} from "./types.ts";
import { UpstreamPool } from "./upstreamPool.ts";
import type { PoolAttempt } from "./upstreamState.ts";
import { WaitQueue } from "./waitQueue.ts";

/** Options of a {@link PoolScheduler}. */
export interface PoolSchedulerOptions {
  readonly random: Random;
  /** Known times of the generations, before any answer was seen. */
  readonly generationTimes?: Readonly<Record<string, TokenTimes>>;
}

/** What was learned of a waiting request when it came. */
interface AskFacts {
  readonly lengths: LengthDistribution;
}

/** A request of the top tier is given up when its chance falls below this. */
const TOP_TIER_LEAST_PROBABILITY = 0.5;
/** One of another tier is; its prefill would more likely be wasted. */
const LEAST_PROBABILITY = 0.8;
/** A refused caller comes back no sooner and no later than this. */
const MINIMUM_RETRY_MS = 500;
const MAXIMUM_RETRY_MS = 30_000;
/** A wait is known only roughly; a refusal on arrival needs a clear miss. */
const WAIT_CONFIDENCE = 0.7;

/**
 * The scheduler of a pool: it composes the modules of this package and decides
 * nothing that one of them could. Order is kept by {@link WaitQueue}, the place
 * by {@link findPlace}, how much runs by the bound of each upstream.
 */
export class PoolScheduler extends Scheduler {
  readonly #pool: UpstreamPool;
  readonly #queue: WaitQueue;
  readonly #limits: AccountLimits;
  readonly #lengths = new LengthEstimate();
  readonly #suspects = new Suspects();
  readonly #drain = new DrainRate();
  readonly #attempts = new Map<RequestId, PoolAttempt>();
  readonly #facts = new Map<RequestId, AskFacts>();
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
  }

  override setPolicy(policy: PoolPolicy, now: Milliseconds): Decision[] {
    this.#policy = policy;
    this.#pool.configure(policy);
    this.#limits.setPolicies(policy.accounts, now);
    this.#queue.setBounds(
      policy.maximumWaitingTokens,
      policy.maximumWaitingBytes,
    );
    return this.#grantWaiting(now);
  }

  override ask(ask: Ask, now: Milliseconds): Decision[] {
    const refusal = this.#refuseAtOnce(ask, now);
    if (refusal !== undefined) return [refusal];
    const lengths = this.#lengths.distribution(ask);
    const expectedTokens = ask.promptTokens + lengths.mean();
    const late = this.#refuseLate(ask, { lengths, expectedTokens, now });
    if (late !== undefined) return [late];
    this.#limits.admit(ask, expectedTokens);
    this.#facts.set(ask.request, { lengths });
    const shed = this.#queue.push(ask, {
      now,
      expectedTokens,
      expectedMs: this.#bestTime(ask, lengths.mean()),
      latestStart: this.#latestStart(ask, lengths),
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
    if (report.outcome === "upstream-lost") this.#learnLoss(attempt, now);
    if (report.outcome === "whole") {
      this.#suspects.answeredWhole(attempt.ask.fingerprint, now);
    }
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
    if (this.#suspects.verdict(ask.fingerprint, now).kind === "suspect") {
      state.suspect = ask.request;
    }
    this.#attempts.set(ask.request, attempt);
    this.#limits.adopt(ask.account);
    this.#pool.refresh(state);
  }

  override dropOrigin(origin: HostId, now: Milliseconds): Decision[] {
    for (const waiting of this.#queue.removeOrigin(origin)) {
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

  #refuseAtOnce(ask: Ask, now: Milliseconds): Decision | undefined {
    if (ask.deadline <= now) return refuse(ask, "deadline-passed", 0);
    if (!this.#pool.hasTargets) {
      return refuse(ask, "no-upstream", REFUSED_WITHOUT_UPSTREAM_RETRY_MS);
    }
    const verdict = this.#suspects.verdict(ask.fingerprint, now);
    if (verdict.kind === "convicted") {
      return refuse(ask, "convicted", verdict.retryAfter);
    }
    const limit = this.#limits.check(ask, now);
    if (limit.kind === "within") return undefined;
    return refuse(ask, "account-limit", limit.retryAfter);
  }

  #refuseLate(
    ask: Ask,
    { lengths, expectedTokens, now }: {
      lengths: LengthDistribution;
      expectedTokens: number;
      now: Milliseconds;
    },
  ): Decision | undefined {
    const ahead = this.#queue.tokensAhead(ask, expectedTokens);
    const wait = (this.#drain.timeFor(ahead) ?? 0) * WAIT_CONFIDENCE;
    const latestStart = this.#latestStart(ask, lengths);
    if (now + wait <= latestStart) return undefined;
    return {
      kind: "refuse",
      ask,
      reason: "deadline-unreachable",
      retryAfter: boundedRetry(now + wait - latestStart),
      estimate: wait + this.#bestTime(ask, lengths.mean()),
    };
  }

  #latestStart(ask: Ask, lengths: LengthDistribution): Milliseconds {
    const least = ask.tier === this.#policy.tiers[0]
      ? TOP_TIER_LEAST_PROBABILITY
      : LEAST_PROBABILITY;
    return ask.deadline - this.#bestTime(ask, lengths.quantile(least));
  }

  #bestTime(ask: Ask, outputTokens: number): Milliseconds {
    const times = this.#pool.bestTimes(outputTokens, ask.promptTokens);
    return ask.promptTokens * times.prefillMsPerToken +
      outputTokens * times.decodeMsPerToken;
  }

  #grantWaiting(now: Milliseconds): Decision[] {
    const decisions: Decision[] = [];
    while (this.#queue.size > 0 && this.#pool.free.size > 0) {
      let place: Place | undefined;
      const waiting = this.#queue.take((candidate): Acceptance => {
        if (!this.#limits.mayStart(candidate.ask.account)) {
          return "account-blocked";
        }
        place = this.#findPlace(candidate, now);
        return place === undefined ? "blocked" : "start";
      });
      if (waiting === undefined || place === undefined) break;
      decisions.push(this.#grant(waiting, place, now));
    }
    return decisions;
  }

  #findPlace(waiting: Waiting, now: Milliseconds): Place | undefined {
    const { fingerprint, request } = waiting.ask;
    return findPlace(this.#pool, {
      waiting,
      lengths: this.#facts.get(request)!.lengths,
      isSuspect: this.#suspects.verdict(fingerprint, now).kind === "suspect",
      domainDistanceMs: this.#policy.domainDistanceMs,
      now,
    });
  }

  #grant(waiting: Waiting, place: Place, now: Milliseconds): Decision {
    const { ask, expectedTokens } = waiting;
    const { state, cachedTokens } = place;
    this.#facts.delete(ask.request);
    const attempt = state.add(ask, {
      now,
      uncachedTokens: ask.promptTokens - cachedTokens,
      expectedTokens,
    });
    if (this.#suspects.verdict(ask.fingerprint, now).kind === "suspect") {
      state.suspect = ask.request;
    }
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

  /** All that was in flight there is lost with it, whenever each report comes. */
  #learnLoss({ state, isLost }: PoolAttempt, now: Milliseconds): void {
    if (isLost) return;
    const lost = [...state.attempts.values()];
    for (const attempt of lost) attempt.isLost = true;
    this.#suspects.upstreamLost(
      state.description.upstream,
      lost.map(({ ask }) => ask.fingerprint),
      now,
    );
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
    this.#facts.delete(ask.request);
    this.#limits.leaveWaiting(ask, expectedTokens);
  }

  #giveUp(
    waiting: Waiting,
    reason: "shed" | "deadline-unreachable",
    now: Milliseconds,
  ): Decision {
    this.#leaveQueue(waiting);
    const queued = this.#drain.timeFor(this.#queue.tokens);
    return {
      kind: "refuse",
      ask: waiting.ask,
      reason,
      retryAfter: boundedRetry(queued ?? MINIMUM_RETRY_MS),
      estimate: now - waiting.since + (queued ?? 0) + waiting.expectedMs,
    };
  }
}

function refuse(
  ask: Ask,
  reason: RefusalReason,
  retryAfter: Milliseconds,
): Decision {
  return { kind: "refuse", ask, reason, retryAfter };
}

function boundedRetry(wait: Milliseconds): Milliseconds {
  return Math.ceil(
    Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, wait)),
  );
}
