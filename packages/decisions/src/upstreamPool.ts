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

/** A first token that may come to be overdue. */
interface ExpectedFirstToken {
  readonly attempt: PoolAttempt;
  readonly dueAt: Milliseconds;
  readonly wait: Milliseconds;
}

/** An upstream so many times slower than its generation is slow itself. */
const BEHIND_RATIO = 3;
/** From this share of KV memory on, or with a queue inside the engine, a bound does not grow. */
const FULL_MEMORY_SHARE = 0.9;

/** The upstreams of one pool and what was learned of each from its own answers. */
export class UpstreamPool {
  readonly cache = new PrefixCacheIndex();
  readonly speeds: SpeedEstimator;
  readonly free = new FreeUpstreams();
  readonly #states = new Map<UpstreamId, UpstreamState>();
  readonly #ejection: OutlierDetector;
  readonly #random: Random;
  readonly #expected = new Heap<ExpectedFirstToken>((left, right) =>
    left.dueAt < right.dueAt
  );
  #generations: string[] = [];
  #policy: PoolPolicy;
  #share = 1;

  constructor(
    policy: PoolPolicy,
    { random, generationTimes = {} }: UpstreamPoolOptions,
  ) {
    this.#policy = policy;
    this.#random = random;
    this.speeds = new SpeedEstimator({ initialTimes: generationTimes });
    this.#ejection = new OutlierDetector({
      upstreamCount: policy.upstreams.length,
      maximumEjectedShare: policy.maximumEjectedShare,
    });
    this.configure(policy);
  }

  get states(): ReadonlyMap<UpstreamId, UpstreamState> {
    return this.#states;
  }

  get capacityShare(): number {
    return this.#share;
  }

  /** Whether any upstream may be sent work, now or once it is free or back. */
  get hasActiveUpstreams(): boolean {
    return this.#policy.upstreams.some(({ isLeaving }) => !isLeaving);
  }

  /** Whether the speed of every generation is known. */
  get hasKnownSpeeds(): boolean {
    return this.#generations.every((generation) =>
      this.speeds.isKnown(generation)
    );
  }

  /** Takes in a new list of upstreams; one that is gone ends its running work. */
  configure(policy: PoolPolicy): void {
    this.#policy = policy;
    this.#ejection.configure({
      upstreamCount: policy.upstreams.length,
      maximumEjectedShare: policy.maximumEjectedShare,
    });
    const listed = new Set(policy.upstreams.map(({ upstream }) => upstream));
    for (const [upstream, state] of this.#states) {
      if (!listed.has(upstream)) this.#retire(state);
    }
    for (const description of policy.upstreams) {
      const state = this.#stateOf(description);
      this.free.remove(state);
      state.description = description;
      this.speeds.register(description.upstream, description.generation);
      this.refreshAvailability(state);
    }
    this.#generations = [
      ...new Set(policy.upstreams.map(({ generation }) => generation)),
    ];
  }

  /** Replaces the share of the pool that may be filled from here. */
  setCapacityShare(share: number): void {
    this.#share = share;
    for (const state of this.#states.values()) this.refreshAvailability(state);
  }

  /** Looks again whether the upstream may take one more request. */
  refreshAvailability(state: UpstreamState): void {
    if (state.hasFreeSlot(this.#share)) this.free.add(state);
    else this.free.remove(state);
  }

  /** Free upstreams to choose from, and free holders of the prompt's prefix. */
  candidates(holders: Iterable<UpstreamId>): UpstreamState[] {
    const candidates = this.free.sample(this.#random);
    if (candidates.length === this.free.size) return candidates;
    for (const upstream of holders) {
      const state = this.#states.get(upstream);
      if (state !== undefined && this.free.has(state)) candidates.push(state);
    }
    return candidates;
  }

  /** The times of the generation with the shortest answers. */
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

  /** Counts a granted request in. */
  recordGrant(attempt: PoolAttempt): void {
    this.#expectFirstToken(
      attempt,
      attempt.state.concurrencyLimit.overdueAfter(attempt.backlogTokens),
    );
    this.refreshAvailability(attempt.state);
  }

  /** Learns from a first token. */
  recordFirstToken(attempt: PoolAttempt, now: Milliseconds): void {
    const { state, backlogTokens, placementRequest: ask } = attempt;
    if (attempt.firstTokenAt !== undefined) return;
    state.recordPrefill(attempt, now);
    const elapsed = now - attempt.grantedAt;
    this.speeds.observeFirstToken({
      upstream: state.description.upstream,
      backlogTokens,
      elapsed,
    });
    state.concurrencyLimit.observe({ ...attempt, elapsed }, now);
    this.cache.recordStored(state.description.upstream, ask.prefixDigests, now);
    this.refreshAvailability(state);
  }

  /** Counts a request out and learns from how it ended. */
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
    if (this.#ejection.observe(upstream, outcome, now)) {
      state.isEjected = true;
    }
    this.refreshAvailability(state);
  }

  /** Takes in an engine's own report; it only holds growth back. */
  applyLoadReport(report: LoadReport): void {
    const state = this.#states.get(report.upstream);
    if (state === undefined) return;
    if ((state.report?.takenAt ?? -Infinity) > report.takenAt) return;
    state.report = report;
    state.concurrencyLimit.setGrowthPaused(
      report.waitingRequests > 0 || report.memoryShare > FULL_MEMORY_SHARE,
    );
  }

  /** Bounds each upstream so that its answers keep the pace that tiers need. */
  assignPaceLimits(ladder: PaceAllocator, now: Milliseconds): void {
    const paced = [...this.#states.values()]
      .filter(({ description }) => !description.isLeaving)
      .map((state) => ({
        state,
        times: this.speeds.times(state.description.upstream),
        paceLimit: state.paceLimit,
        paceTier: state.paceTier,
      }))
      .sort((left, right) => this.#rank(left.state) - this.#rank(right.state));
    ladder.assignLimits(paced, now);
    for (const { state, paceLimit: paceBound, paceTier } of paced) {
      state.paceLimit = paceBound;
      state.paceTier = paceTier;
      this.refreshAvailability(state);
    }
  }

  /**
   * Prefill tells fast generations from slow ones whatever their load is; an
   * upstream far behind its generation is slow itself.
   */
  #rank({ description }: UpstreamState): Milliseconds {
    const generation = this.speeds.generationTimes(description.generation);
    const own = this.speeds.times(description.upstream);
    const isBehind =
      own.prefillMsPerToken > BEHIND_RATIO * generation.prefillMsPerToken;
    return isBehind ? own.prefillMsPerToken : generation.prefillMsPerToken;
  }

  /** Brings ejected upstreams back and notices first tokens that are overdue. */
  tick(now: Milliseconds): void {
    for (const upstream of this.#ejection.takeExpired(now)) {
      const state = this.#states.get(upstream);
      if (state === undefined) continue;
      state.isEjected = false;
      state.concurrencyLimit.beginSlowStart();
      this.refreshAvailability(state);
    }
    let next = this.#expected.peek();
    while (next !== undefined && next.dueAt <= now) {
      this.#expected.pop();
      this.#noticeOverdue(next, now);
      next = this.#expected.peek();
    }
  }

  #noticeOverdue(
    { attempt, wait }: ExpectedFirstToken,
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
    this.#expectFirstToken(attempt, wait * 2);
  }

  #expectFirstToken(attempt: PoolAttempt, wait: Milliseconds): void {
    this.#expected.push({ attempt, dueAt: attempt.grantedAt + wait, wait });
  }

  #stateOf(description: UpstreamDescription): UpstreamState {
    const { upstream } = description;
    const known = this.#states.get(upstream);
    if (known !== undefined) return known;
    const added = new UpstreamState(description, {
      initialRequests: this.#policy.initialConcurrency,
      maximumRequests: this.#policy.maximumConcurrency,
    });
    this.#states.set(upstream, added);
    return added;
  }

  #retire(state: UpstreamState): void {
    const { upstream } = state.description;
    state.description = { ...state.description, isLeaving: true };
    this.free.remove(state);
    if (state.attempts.size > 0) return;
    this.#states.delete(upstream);
    this.speeds.remove(upstream);
    this.#ejection.remove(upstream);
  }
}
