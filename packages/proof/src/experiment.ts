import {
  asId,
  asTier,
  type Digest,
  type HostId,
  type Milliseconds,
  type RequestId,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import type {
  AttemptOutcome,
  Decision,
  PlacementRequest,
  PoolPolicy,
  Scheduler,
} from "@wasabivane/decisions";
import { type EngineEvent, EngineModel } from "@wasabivane/engine-model";
import {
  type Arrival,
  type ExperimentScenario,
  type FleetMember,
  TIER_LOADS,
  type UpstreamFault,
} from "./arrivals.ts";
import { computeUnloadedTime } from "./goodputBound.ts";
import { ExperimentStats, type WasteCause } from "./experimentStats.ts";

/** Creates the scheduler under test. */
export type SchedulerFactory = (
  policy: PoolPolicy,
  random: SeededRandom,
) => Scheduler;

/** One attempt of a caller; each resend is a separate attempt. */
interface CallerAttempt {
  readonly arrival: Arrival;
  readonly placementRequest: PlacementRequest;
  readonly resends: number;
  state: "waiting" | "running" | "ended";
  engine?: Engine;
  grantedAt?: Milliseconds;
  outputTokens: number;
  /**
   * Whether a request of a lower tier got an upstream that, when idle, would
   * have served this one in time at any output length.
   */
  isBypassed: boolean;
}

interface Engine {
  readonly member: FleetMember;
  readonly model: EngineModel;
  readonly running: Map<RequestId, CallerAttempt>;
  cacheSequence: number;
  isLeaving: boolean;
}

const TICK_MS = 50;
const REPORT_PERIOD_MS = 500;
const CACHE_EVENT_LOSS_RATE = 0.05;
const HOST_LIST_DELAY_MS = 2_000;
/** Time after which a leaving upstream refuses new requests. */
const LEAVING_GRACE_MS = 5_000;
const POISON_CRASH_DELAY_MS = 100;
const RESTART_AFTER_MS = 15_000;
const POISON_RESENDS = 20;
const POISON_RESEND_DELAY_MS = 2_000;
const RESEND_DELAY_MS = 500;
const REFUSED_CONNECTION_RETRY_MS = 100;

/**
 * Replays a scenario against one scheduler in virtual time. It simulates the
 * engines, the callers and the entry hosts, which request a slot, dispatch each
 * grant at most once and cancel at the deadline.
 */
export class Experiment {
  readonly stats = new ExperimentStats();
  readonly #timer = new VirtualTimer();
  readonly #scenario: ExperimentScenario;
  readonly #engines: Engine[];
  readonly #byUpstream: Map<string, Engine>;
  readonly #scheduler: Scheduler;
  readonly #attempts = new Map<RequestId, CallerAttempt>();
  readonly #waiting = new Map<RequestId, CallerAttempt>();
  readonly #random: SeededRandom;

  constructor(
    scenario: ExperimentScenario,
    { build, seed }: { build: SchedulerFactory; seed: number },
  ) {
    this.#scenario = scenario;
    this.#random = new SeededRandom(seed + 7);
    this.#engines = scenario.fleet.map((member) => this.#startEngine(member));
    this.#byUpstream = new Map(
      this.#engines.map((engine) => [engine.member.upstream, engine]),
    );
    this.#scheduler = build(this.#policy(), new SeededRandom(seed + 13));
  }

  /** Runs the scenario to its end and collects the results in {@link stats}. */
  run(): void {
    for (const arrival of this.#scenario.arrivals) {
      if (!arrival.isPoison) this.stats.offered[arrival.tier]!++;
      this.#timer.after(arrival.at, () => this.#send(arrival, 0));
    }
    for (const fault of this.#scenario.faults) {
      this.#timer.after(fault.at, () => this.#apply(fault));
    }
    this.#timer.every(
      TICK_MS,
      () => this.#applyDecisions(this.#scheduler.tick(this.#timer.now())),
    );
    this.#timer.every(REPORT_PERIOD_MS, () => this.#sendReports());
    const end = Math.max(
      ...this.#scenario.arrivals.map(({ deadline }) => deadline),
    );
    this.#timer.runUntil(end + 1);
    for (const { state } of this.#attempts.values()) {
      if (state !== "ended") this.stats.unanswered++;
    }
  }

  engineCounters(): EngineModel["counters"][] {
    return this.#engines.map(({ model }) => model.counters);
  }

  #send(arrival: Arrival, resends: number): void {
    const placementRequest = buildPlacementRequest(arrival, resends);
    const attempt: CallerAttempt = {
      arrival,
      placementRequest,
      resends,
      state: "waiting",
      outputTokens: 0,
      isBypassed: false,
    };
    this.stats.sent++;
    this.#attempts.set(placementRequest.request, attempt);
    const remaining = arrival.deadline - this.#timer.now();
    this.#timer.after(remaining, () => this.#reachDeadline(attempt));
    this.#requestPlacement(attempt);
  }

  #requestPlacement(attempt: CallerAttempt): void {
    this.#waiting.set(attempt.placementRequest.request, attempt);
    this.#applyDecisions(
      this.#scheduler.submit(attempt.placementRequest, this.#timer.now()),
    );
  }

  #applyDecisions(decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      const attempt = this.#attempts.get(decision.placementRequest.request)!;
      if (decision.kind === "refuse") {
        this.#refuse(attempt, decision);
      } else {
        this.#dispatch(attempt, this.#byUpstream.get(decision.upstream)!);
      }
    }
  }

  #refuse(
    attempt: CallerAttempt,
    { reason }: Extract<Decision, { kind: "refuse" }>,
  ): void {
    if (attempt.state !== "waiting") this.stats.falseNotRun++;
    this.#waiting.delete(attempt.placementRequest.request);
    attempt.state = "ended";
    this.stats.recordRefusal(attempt.arrival, reason);
    const isCapacityReason = reason === "shed" ||
      reason === "deadline-unreachable";
    if (isCapacityReason) this.#countInversion(attempt, reason);
    if (attempt.arrival.isPoison) this.#resendPoison(attempt);
  }

  /** Counts a request that was shed while one of a lower tier stays queued. */
  #countInversion(
    { placementRequest, isBypassed }: CallerAttempt,
    reason: string,
  ): void {
    if (isBypassed) this.stats.passedOver++;
    if (reason !== "shed") return;
    const hasLowerWaiting = [...this.#waiting.values()].some((other) =>
      other.placementRequest.tier > placementRequest.tier
    );
    if (hasLowerWaiting) this.stats.tierInversions++;
  }

  #dispatch(attempt: CallerAttempt, engine: Engine): void {
    if (attempt.state !== "waiting") {
      this.stats.doubleDispatches++;
      return;
    }
    this.#waiting.delete(attempt.placementRequest.request);
    this.#markBypassed(attempt, engine);
    attempt.state = "running";
    attempt.engine = engine;
    attempt.grantedAt = this.#timer.now();
    const isSameDomain =
      engine.member.failureDomain === attempt.placementRequest.originDomain;
    const latency = isSameDomain ? 0 : this.#scenario.domainDistanceMs;
    this.#timer.after(latency, () => this.#sendToEngine(attempt, engine));
  }

  #markBypassed(
    { placementRequest }: CallerAttempt,
    { member }: Engine,
  ): void {
    for (const other of this.#waiting.values()) {
      if (
        other.placementRequest.tier >= placementRequest.tier ||
        other.isBypassed
      ) continue;
      const { promptTokens, maximumOutputTokens, deadline } = other.arrival;
      const maximumDuration = computeUnloadedTime(
        member.profile,
        promptTokens,
        maximumOutputTokens,
      );
      other.isBypassed = this.#timer.now() + maximumDuration <= deadline;
    }
  }

  #sendToEngine(attempt: CallerAttempt, engine: Engine): void {
    if (attempt.state !== "running") return;
    const { arrival, placementRequest } = attempt;
    const isAccepted = !engine.isLeaving && engine.model.submit(
      {
        id: placementRequest.request,
        promptTokens: arrival.promptTokens,
        outputTokens: arrival.outputTokens,
        prefixDigests: arrival.prefixDigests,
      },
      (event) => this.#handleEvent(attempt, engine, event),
    );
    if (!isAccepted) return this.#handleRefusedConnection(attempt);
    this.stats.dispatches++;
    engine.running.set(placementRequest.request, attempt);
  }

  /** Retries the placement, since nothing was sent to the upstream yet. */
  #handleRefusedConnection(attempt: CallerAttempt): void {
    this.#finish(attempt, "upstream-refused");
    attempt.state = "waiting";
    this.#timer.after(REFUSED_CONNECTION_RETRY_MS, () => {
      if (attempt.state === "waiting") this.#requestPlacement(attempt);
    });
  }

  #handleEvent(
    attempt: CallerAttempt,
    engine: Engine,
    event: EngineEvent,
  ): void {
    const { arrival, placementRequest } = attempt;
    if (attempt.engine !== engine) this.stats.crossedAnswers++;
    switch (event.kind) {
      case "firstToken":
        attempt.outputTokens = 1;
        this.stats.recordFirstToken(arrival, this.#timer.now() - arrival.at);
        this.#scheduler.recordFirstToken(
          placementRequest.request,
          this.#timer.now(),
        );
        if (arrival.isPoison) this.#scheduleCrash(engine);
        return;
      case "tokens":
        attempt.outputTokens += event.count;
        return;
      case "finished":
        this.stats.recordResponse(arrival, {
          tier: arrival.tier,
          at: this.#timer.now(),
          waited: attempt.grantedAt! - arrival.at,
        });
        return this.#finish(attempt, "whole");
      case "lost":
        this.#recordWaste("broken", arrival, event.prefilledTokens);
        this.#finish(attempt, "upstream-lost");
        return this.#resendAfterLoss(attempt);
    }
  }

  #reachDeadline(attempt: CallerAttempt): void {
    const { placementRequest, engine } = attempt;
    if (attempt.state === "waiting") {
      this.#waiting.delete(placementRequest.request);
      this.#scheduler.withdraw(placementRequest.request, this.#timer.now());
      this.stats.recordRefusal(attempt.arrival, "not answered in time");
      if (attempt.isBypassed) this.stats.passedOver++;
      attempt.state = "ended";
    } else if (attempt.state === "running") {
      const wasted = engine!.model.cancel(placementRequest.request) ?? 0;
      this.#recordWaste("late", attempt.arrival, wasted);
      if (attempt.state === "running") this.#finish(attempt, "timeout");
    }
  }

  #finish(attempt: CallerAttempt, outcome: AttemptOutcome): void {
    const { placementRequest, engine, outputTokens } = attempt;
    attempt.state = "ended";
    engine!.running.delete(placementRequest.request);
    const { upstream } = engine!.member;
    this.#applyDecisions(this.#scheduler.finish(
      { request: placementRequest.request, upstream, outcome, outputTokens },
      this.#timer.now(),
    ));
  }

  #recordWaste(
    cause: WasteCause,
    { isPoison }: Arrival,
    tokens: number,
  ): void {
    if (!isPoison) this.stats.wasted[cause] += tokens;
  }

  #resendAfterLoss(attempt: CallerAttempt): void {
    const { arrival, resends } = attempt;
    if (arrival.isPoison) return this.#resendPoison(attempt);
    if (!arrival.isIdempotent) {
      this.stats.broken++;
      return;
    }
    const delay = RESEND_DELAY_MS * (1 + this.#random.float());
    if (this.#timer.now() + delay >= arrival.deadline) return;
    this.#timer.after(delay, () => this.#send(arrival, resends + 1));
  }

  #resendPoison({ arrival, resends }: CallerAttempt): void {
    if (resends >= POISON_RESENDS) return;
    this.#timer.after(
      POISON_RESEND_DELAY_MS,
      () => this.#send(arrival, resends + 1),
    );
  }

  #scheduleCrash(engine: Engine): void {
    this.#timer.after(POISON_CRASH_DELAY_MS, () => {
      if (!engine.model.isUp) return;
      this.#crash(engine);
      this.#timer.after(RESTART_AFTER_MS, () => engine.model.restart());
    });
  }

  #crash(engine: Engine): void {
    this.stats.upstreamsLost++;
    engine.model.crash();
  }

  #apply({ upstream, kind, factor }: UpstreamFault): void {
    const engine = this.#engines[upstream]!;
    switch (kind) {
      case "slow":
        return engine.model.slowDown(factor!);
      case "crash":
        return this.#crash(engine);
      case "restart":
        return engine.model.restart();
      case "leave":
        return this.#markLeaving(engine);
    }
  }

  #markLeaving(engine: Engine): void {
    this.#timer.after(HOST_LIST_DELAY_MS, () => {
      const policy = this.#policy(engine);
      this.#applyDecisions(
        this.#scheduler.setPolicy(policy, this.#timer.now()),
      );
    });
    this.#timer.after(LEAVING_GRACE_MS, () => (engine.isLeaving = true));
  }

  #sendReports(): void {
    for (const engine of this.#engines) {
      const { upstream } = engine.member;
      const now = this.#timer.now();
      const load = engine.model.loadReport();
      if (load === undefined) continue;
      this.#applyDecisions(this.#scheduler.applyLoadReport({
        upstream,
        takenAt: load.takenAt,
        runningRequests: load.running,
        waitingRequests: load.waiting,
        memoryShare: load.memoryShare,
      }, now));
      for (const event of engine.model.cacheEvents(engine.cacheSequence)) {
        engine.cacheSequence = event.sequence;
        this.#scheduler.applyCacheEvent({ upstream, ...event }, now);
      }
    }
  }

  #startEngine(member: FleetMember): Engine {
    const model = new EngineModel({
      timer: this.#timer,
      random: this.#random,
      profile: member.profile,
      reportLagMs: this.#scenario.reportLagMs,
      cacheEventLagMs: this.#scenario.cacheEventLagMs,
      cacheEventLossRate: CACHE_EVENT_LOSS_RATE,
    });
    return {
      member,
      model,
      running: new Map(),
      cacheSequence: 0,
      isLeaving: false,
    };
  }

  readonly #listedLeaving = new Set<Engine>();

  #policy(leaving?: Engine): PoolPolicy {
    if (leaving !== undefined) this.#listedLeaving.add(leaving);
    return {
      upstreams: this.#engines.map((engine) => ({
        upstream: engine.member.upstream,
        failureDomain: engine.member.failureDomain,
        generation: engine.member.generation,
        isLeaving: this.#listedLeaving.has(engine),
      })),
      accounts: [],
      tiers: TIER_LOADS.map(({ tier }) => asTier(tier)),
      initialConcurrency: 8,
      maximumConcurrency: 64,
      maximumWaitingTokens: 10_000_000,
      maximumWaitingBytes: 64_000_000,
      maximumEjectedShare: 0.4,
      domainDistanceMs: this.#scenario.domainDistanceMs,
    };
  }
}

function buildPlacementRequest(
  arrival: Arrival,
  resends: number,
): PlacementRequest {
  return {
    request: asId<RequestId>(`${arrival.id}/${resends}`),
    origin: asId<HostId>("entry"),
    originDomain: arrival.originDomain,
    account: arrival.account,
    tier: arrival.tier,
    promptTokens: arrival.promptTokens,
    maximumOutputTokens: arrival.maximumOutputTokens,
    bodyBytes: arrival.promptTokens * 4,
    deadline: arrival.deadline,
    prefixDigests: arrival.prefixDigests,
    fingerprint: asId<Digest>(arrival.id),
  };
}
