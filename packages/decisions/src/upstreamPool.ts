import {
  Heap,
  type Milliseconds,
  type Random,
  type UpstreamId,
} from "@wasabivane/common";
import { PrefixCacheIndex } from "./prefixCacheIndex.ts";
import { OutlierDetector } from "./outlierDetector.ts";
import { FreeUpstreams } from "./freeUpstreams.ts";
import type { PaceAllocator } from "./paceAllocator.ts";
import { SpeedEstimator, type TokenTimes } from "./speedEstimator.ts";
import type {
  AttemptReport,
  LoadReport,
  PoolPolicy,
  UpstreamDescription,
} from "./types.ts";
import { type PoolAttempt, UpstreamState } from "./upstreamState.ts";

/** Options of an {@link UpstreamPool}. */
export interface UpstreamPoolOptions {
  readonly random: Random;
  readonly generationTimes?: Readonly<Record<string, TokenTimes>>;
}

/** Holds the time at which a missing first token becomes overdue. */
interface PendingFirstToken {
  readonly attempt: PoolAttempt;
  readonly dueAt: Milliseconds;
  readonly timeout: Milliseconds;
}

/** Ratio to its generation's prefill time above which an upstream is slow. */
const SLOW_UPSTREAM_RATIO = 3;
/** Share of KV memory above which the concurrency limit does not grow. */
const MEMORY_PRESSURE_SHARE = 0.9;

/** Manages the upstreams of one pool and the estimates for each of them. */
export class UpstreamPool {
  readonly cache = new PrefixCacheIndex();
  readonly speeds: SpeedEstimator;
  readonly free = new FreeUpstreams();
  readonly #states = new Map<UpstreamId, UpstreamState>();
  readonly #outlierDetector: OutlierDetector;
  readonly #random: Random;
  readonly #pendingFirstTokens = new Heap<PendingFirstToken>((left, right) =>
    left.dueAt < right.dueAt
  );
  #generations: string[] = [];
  #policy: PoolPolicy;
  #capacityShare = 1;

  constructor(
    policy: PoolPolicy,
    { random, generationTimes = {} }: UpstreamPoolOptions,
  ) {
    this.#policy = policy;
    this.#random = random;
    this.speeds = new SpeedEstimator({ initialTimes: generationTimes });
    this.#outlierDetector = new OutlierDetector({
      upstreamCount: policy.upstreams.length,
      maximumEjectedShare: policy.maximumEjectedShare,
    });
    this.configure(policy);
  }

  /** Returns the state of each upstream. */
  get states(): ReadonlyMap<UpstreamId, UpstreamState> {
    return this.#states;
  }

  /** Returns the share of the pool's capacity that may be used, 0 to 1. */
  get capacityShare(): number {
    return this.#capacityShare;
  }

  /** Returns whether any upstream is not leaving. */
  get hasActiveUpstreams(): boolean {
    return this.#policy.upstreams.some(({ isLeaving }) => !isLeaving);
  }

  /** Returns whether the speed of every generation is known. */
  get hasKnownSpeeds(): boolean {
    return this.#generations.every((generation) =>
      this.speeds.isKnown(generation)
    );
  }

  /**
   * Replaces the list of upstreams; running requests of removed ones continue.
   */
  configure(policy: PoolPolicy): void {
    this.#policy = policy;
    this.#outlierDetector.configure({
      upstreamCount: policy.upstreams.length,
      maximumEjectedShare: policy.maximumEjectedShare,
    });
    const configured = new Set(
      policy.upstreams.map(({ upstream }) => upstream),
    );
    for (const [upstream, state] of this.#states) {
      if (!configured.has(upstream)) this.#retire(state);
    }
    for (const description of policy.upstreams) {
      const state = this.#getOrCreateState(description);
      this.free.remove(state);
      state.description = description;
      this.speeds.register(description.upstream, description.generation);
      this.refreshAvailability(state);
    }
    this.#generations = [
      ...new Set(policy.upstreams.map(({ generation }) => generation)),
    ];
  }

  /** Replaces the share of the pool's capacity that may be used. */
  setCapacityShare(share: number): void {
    this.#capacityShare = share;
    for (const state of this.#states.values()) this.refreshAvailability(state);
  }

  /** Updates whether the upstream is in the set of free upstreams. */
  refreshAvailability(state: UpstreamState): void {
    if (state.hasFreeSlot(this.#capacityShare)) this.free.add(state);
    else this.free.remove(state);
  }

  /** Returns a sample of free upstreams and the free ones among `holders`. */
  candidates(holders: Iterable<UpstreamId>): UpstreamState[] {
    const candidates = this.free.sample(this.#random);
    if (candidates.length === this.free.size) return candidates;
    for (const upstream of holders) {
      const state = this.#states.get(upstream);
      if (state !== undefined && this.free.has(state)) candidates.push(state);
    }
    return candidates;
  }

  /**
   * Returns the times of the generation that responds fastest to such a
   * request.
   */
  fastestTimes(outputTokens: number, promptTokens: number): TokenTimes {
    let best: TokenTimes | undefined;
    let least = Infinity;
    for (const generation of this.#generations) {
      const times = this.speeds.generationTimes(generation);
      const expected = promptTokens * times.prefillMsPerToken +
        outputTokens * times.decodeMsPerToken;
      if (expected >= least) continue;
      least = expected;
      best = times;
    }
    return best ?? this.speeds.generationTimes("");
  }

  /** Records a granted request. */
  recordGrant(attempt: PoolAttempt): void {
    this.#scheduleOverdueCheck(
      attempt,
      attempt.state.concurrencyLimit.overdueAfter(attempt.backlogTokens),
    );
    this.refreshAvailability(attempt.state);
  }

  /** Updates the estimates with a first token. */
  recordFirstToken(attempt: PoolAttempt, now: Milliseconds): void {
    const { state, backlogTokens, placementRequest } = attempt;
    if (attempt.firstTokenAt !== undefined) return;
    state.recordPrefill(attempt, now);
    const elapsed = now - attempt.grantedAt;
    this.speeds.observeFirstToken({
      upstream: state.description.upstream,
      backlogTokens,
      elapsed,
    });
    state.concurrencyLimit.observe({ ...attempt, elapsed }, now);
    this.cache.recordStored(
      state.description.upstream,
      placementRequest.prefixDigests,
      now,
    );
    this.refreshAvailability(state);
  }

  /**
   * Removes a request that ended and updates the estimates with its outcome.
   */
  recordEnd(
    attempt: PoolAttempt,
    { outcome, outputTokens }: AttemptReport,
    now: Milliseconds,
  ): void {
    const { state } = attempt;
    const { upstream } = state.description;
    const inFlight = state.attempts.size;
    state.remove(attempt);
    if (attempt.firstTokenAt !== undefined) {
      this.speeds.observeDecode({
        upstream,
        outputTokens,
        elapsed: now - attempt.firstTokenAt,
        inFlight,
      });
    }
    if (outcome === "upstream-lost") this.cache.clear(upstream);
    if (this.#outlierDetector.observe(upstream, outcome, now)) {
      state.isEjected = true;
    }
    this.refreshAvailability(state);
  }

  /** Applies a load report; reports older than the last one are ignored. */
  applyLoadReport(report: LoadReport): void {
    const state = this.#states.get(report.upstream);
    if (state === undefined) return;
    if ((state.report?.takenAt ?? -Infinity) > report.takenAt) return;
    state.report = report;
    state.concurrencyLimit.setGrowthPaused(
      report.waitingRequests > 0 || report.memoryShare > MEMORY_PRESSURE_SHARE,
    );
  }

  /** Updates the pace limit of each upstream. */
  assignPaceLimits(allocator: PaceAllocator, now: Milliseconds): void {
    const pacedUpstreams = [...this.#states.values()]
      .filter(({ description }) => !description.isLeaving)
      .map((state) => ({
        state,
        times: this.speeds.times(state.description.upstream),
        paceLimit: state.paceLimit,
        paceTier: state.paceTier,
      }))
      .sort((left, right) =>
        this.#prefillRank(left.state) - this.#prefillRank(right.state)
      );
    allocator.assignLimits(pacedUpstreams, now);
    for (const { state, paceLimit, paceTier } of pacedUpstreams) {
      state.paceLimit = paceLimit;
      state.paceTier = paceTier;
      this.refreshAvailability(state);
    }
  }

  /**
   * Returns the prefill time by which upstreams are ranked; it hardly depends
   * on load. It is that of the generation unless the upstream is much slower.
   */
  #prefillRank({ description }: UpstreamState): Milliseconds {
    const generation = this.speeds.generationTimes(description.generation);
    const own = this.speeds.times(description.upstream);
    const isSlow = own.prefillMsPerToken >
      SLOW_UPSTREAM_RATIO * generation.prefillMsPerToken;
    return isSlow ? own.prefillMsPerToken : generation.prefillMsPerToken;
  }

  /** Readmits ejected upstreams and handles overdue first tokens. */
  tick(now: Milliseconds): void {
    for (const upstream of this.#outlierDetector.takeExpired(now)) {
      const state = this.#states.get(upstream);
      if (state === undefined) continue;
      state.isEjected = false;
      state.concurrencyLimit.beginSlowStart();
      this.refreshAvailability(state);
    }
    let next = this.#pendingFirstTokens.peek();
    while (next !== undefined && next.dueAt <= now) {
      this.#pendingFirstTokens.pop();
      this.#handleOverdue(next, now);
      next = this.#pendingFirstTokens.peek();
    }
  }

  #handleOverdue(
    { attempt, timeout }: PendingFirstToken,
    now: Milliseconds,
  ): void {
    const { state } = attempt;
    if (attempt.firstTokenAt !== undefined) return;
    if (state.attempts.get(attempt.placementRequest.request) !== attempt) {
      return;
    }
    const elapsed = now - attempt.grantedAt;
    state.concurrencyLimit.observeOverdue({ ...attempt, elapsed }, now);
    this.refreshAvailability(state);
    this.#scheduleOverdueCheck(attempt, timeout * 2);
  }

  #scheduleOverdueCheck(attempt: PoolAttempt, timeout: Milliseconds): void {
    this.#pendingFirstTokens.push({
      attempt,
      dueAt: attempt.grantedAt + timeout,
      timeout,
    });
  }

  #getOrCreateState(description: UpstreamDescription): UpstreamState {
    const { upstream } = description;
    const existing = this.#states.get(upstream);
    if (existing !== undefined) return existing;
    const created = new UpstreamState(description, {
      initialRequests: this.#policy.initialConcurrency,
      maximumRequests: this.#policy.maximumConcurrency,
    });
    this.#states.set(upstream, created);
    return created;
  }

  #retire(state: UpstreamState): void {
    const { upstream } = state.description;
    state.description = { ...state.description, isLeaving: true };
    this.free.remove(state);
    if (state.attempts.size > 0) return;
    this.#states.delete(upstream);
    this.speeds.remove(upstream);
    this.#outlierDetector.remove(upstream);
  }
}
