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

/** Makes the scheduler under test. */
export type SchedulerFactory = (
  policy: PoolPolicy,
  random: SeededRandom,
) => Scheduler;

/** One request as its caller sent it; a resend is another. */
interface Sending {
  readonly arrival: Arrival;
  readonly ask: PlacementRequest;
  readonly resends: number;
  state: "waiting" | "running" | "ended";
  engine?: Engine;
  grantedAt?: Milliseconds;
  outputTokens: number;
  /** A lower tier was given an upstream that would have answered this in time at any length. */
  wasPassedOver: boolean;
}

interface Engine {
  readonly member: FleetMember;
  readonly model: EngineModel;
  readonly running: Map<RequestId, Sending>;
  cacheSequence: number;
  isLeaving: boolean;
}

const TICK_MS = 50;
const REPORT_PERIOD_MS = 500;
const CACHE_EVENT_LOSS_RATE = 0.05;
const HOST_LIST_LAG_MS = 2_000;
/** A leaving upstream refuses new work after this. */
const LEAVING_MS = 5_000;
const KILLER_CRASH_AFTER_MS = 100;
const RESTART_AFTER_MS = 15_000;
const KILLER_RESENDS = 20;
const KILLER_RESEND_MS = 2_000;
const RESEND_MS = 500;
const REFUSED_CONNECTION_RETRY_MS = 100;

/**
 * Replays a scenario against one scheduler in virtual time. It plays callers and
 * entry hosts only: they ask, dispatch at most once what is granted, and give up
 * at the deadline.
 */
export class Experiment {
  readonly stats = new ExperimentStats();
  readonly #timer = new VirtualTimer();
  readonly #scenario: ExperimentScenario;
  readonly #engines: Engine[];
  readonly #byUpstream: Map<string, Engine>;
  readonly #scheduler: Scheduler;
  readonly #sendings = new Map<RequestId, Sending>();
  readonly #waiting = new Map<RequestId, Sending>();
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

  /** Runs the scenario to its end and leaves the counts in {@link stats}. */
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
      () => this.#follow(this.#scheduler.tick(this.#timer.now())),
    );
    this.#timer.every(REPORT_PERIOD_MS, () => this.#report());
    const end = Math.max(
      ...this.#scenario.arrivals.map(({ deadline }) => deadline),
    );
    this.#timer.runUntil(end + 1);
    for (const { state } of this.#sendings.values()) {
      if (state !== "ended") this.stats.unanswered++;
    }
  }

  engineCounters(): EngineModel["counters"][] {
    return this.#engines.map(({ model }) => model.counters);
  }

  #send(arrival: Arrival, resends: number): void {
    const ask = buildAsk(arrival, resends);
    const sending: Sending = {
      arrival,
      ask,
      resends,
      state: "waiting",
      outputTokens: 0,
      wasPassedOver: false,
    };
    this.stats.sent++;
    this.#sendings.set(ask.request, sending);
    const left = arrival.deadline - this.#timer.now();
    this.#timer.after(left, () => this.#reachDeadline(sending));
    this.#ask(sending);
  }

  #ask(sending: Sending): void {
    this.#waiting.set(sending.ask.request, sending);
    this.#follow(this.#scheduler.submit(sending.ask, this.#timer.now()));
  }

  #follow(decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      const sending = this.#sendings.get(decision.placementRequest.request)!;
      if (decision.kind === "refuse") {
        this.#refuse(sending, decision);
      } else {
        this.#dispatch(sending, this.#byUpstream.get(decision.upstream)!);
      }
    }
  }

  #refuse(
    sending: Sending,
    { reason }: Extract<Decision, { kind: "refuse" }>,
  ): void {
    if (sending.state !== "waiting") this.stats.falseNotRun++;
    this.#waiting.delete(sending.ask.request);
    sending.state = "ended";
    this.stats.recordRefusal(sending.arrival, reason);
    const isCapacityReason = reason === "shed" ||
      reason === "deadline-unreachable";
    if (isCapacityReason) this.#countInversion(sending, reason);
    if (sending.arrival.isPoison) this.#resendKiller(sending);
  }

  /** A request was shed while a lower tier keeps its place in the queue. */
  #countInversion({ ask, wasPassedOver }: Sending, reason: string): void {
    if (wasPassedOver) this.stats.passedOver++;
    if (reason !== "shed") return;
    const hasLowerWaiting = [...this.#waiting.values()].some((other) =>
      other.ask.tier > ask.tier
    );
    if (hasLowerWaiting) this.stats.tierInversions++;
  }

  #dispatch(sending: Sending, engine: Engine): void {
    if (sending.state !== "waiting") {
      this.stats.doubleDispatches++;
      return;
    }
    this.#waiting.delete(sending.ask.request);
    this.#markPassedOver(sending, engine);
    sending.state = "running";
    sending.engine = engine;
    sending.grantedAt = this.#timer.now();
    const isSameDomain =
      engine.member.failureDomain === sending.ask.originDomain;
    const distance = isSameDomain ? 0 : this.#scenario.domainDistanceMs;
    this.#timer.after(distance, () => this.#submit(sending, engine));
  }

  #markPassedOver({ ask }: Sending, { member }: Engine): void {
    for (const other of this.#waiting.values()) {
      if (other.ask.tier >= ask.tier || other.wasPassedOver) continue;
      const { promptTokens, maximumOutputTokens, deadline } = other.arrival;
      const most = computeUnloadedTime(
        member.speed,
        promptTokens,
        maximumOutputTokens,
      );
      other.wasPassedOver = this.#timer.now() + most <= deadline;
    }
  }

  #submit(sending: Sending, engine: Engine): void {
    if (sending.state !== "running") return;
    const { arrival, ask } = sending;
    const isTaken = !engine.isLeaving && engine.model.submit(
      {
        id: ask.request,
        promptTokens: arrival.promptTokens,
        outputTokens: arrival.outputTokens,
        prefixDigests: arrival.prefixDigests,
      },
      (event) => this.#hear(sending, engine, event),
    );
    if (!isTaken) return this.#meetRefusedConnection(sending);
    this.stats.dispatches++;
    engine.running.set(ask.request, sending);
  }

  /** No byte has left for the upstream, so the request may still be dispatched. */
  #meetRefusedConnection(sending: Sending): void {
    this.#finish(sending, "upstream-refused");
    sending.state = "waiting";
    this.#timer.after(REFUSED_CONNECTION_RETRY_MS, () => {
      if (sending.state === "waiting") this.#ask(sending);
    });
  }

  #hear(sending: Sending, engine: Engine, event: EngineEvent): void {
    const { arrival, ask } = sending;
    if (sending.engine !== engine) this.stats.crossedAnswers++;
    switch (event.kind) {
      case "firstToken":
        sending.outputTokens = 1;
        this.stats.recordFirstToken(arrival, this.#timer.now() - arrival.at);
        this.#scheduler.recordFirstToken(ask.request, this.#timer.now());
        if (arrival.isPoison) this.#crashSoon(engine);
        return;
      case "tokens":
        sending.outputTokens += event.count;
        return;
      case "finished":
        this.stats.recordResponse(arrival, {
          tier: arrival.tier,
          at: this.#timer.now(),
          waited: sending.grantedAt! - arrival.at,
        });
        return this.#finish(sending, "whole");
      case "lost":
        this.#waste("broken", arrival, event.prefilledTokens);
        this.#finish(sending, "upstream-lost");
        return this.#resendAfterLoss(sending);
    }
  }

  #reachDeadline(sending: Sending): void {
    const { ask, engine } = sending;
    if (sending.state === "waiting") {
      this.#waiting.delete(ask.request);
      this.#scheduler.withdraw(ask.request, this.#timer.now());
      this.stats.recordRefusal(sending.arrival, "not answered in time");
      if (sending.wasPassedOver) this.stats.passedOver++;
      sending.state = "ended";
    } else if (sending.state === "running") {
      const wasted = engine!.model.cancel(ask.request) ?? 0;
      this.#waste("late", sending.arrival, wasted);
      if (sending.state === "running") this.#finish(sending, "timeout");
    }
  }

  #finish(sending: Sending, outcome: AttemptOutcome): void {
    const { ask, engine, outputTokens } = sending;
    sending.state = "ended";
    engine!.running.delete(ask.request);
    const { upstream } = engine!.member;
    this.#follow(this.#scheduler.finish(
      { request: ask.request, upstream, outcome, outputTokens },
      this.#timer.now(),
    ));
  }

  #waste(
    cause: WasteCause,
    { isPoison: isKiller }: Arrival,
    tokens: number,
  ): void {
    if (!isKiller) this.stats.wasted[cause] += tokens;
  }

  #resendAfterLoss(sending: Sending): void {
    const { arrival, resends } = sending;
    if (arrival.isPoison) return this.#resendKiller(sending);
    if (!arrival.isIdempotent) {
      this.stats.broken++;
      return;
    }
    const delay = RESEND_MS * (1 + this.#random.float());
    if (this.#timer.now() + delay >= arrival.deadline) return;
    this.#timer.after(delay, () => this.#send(arrival, resends + 1));
  }

  #resendKiller({ arrival, resends }: Sending): void {
    if (resends >= KILLER_RESENDS) return;
    this.#timer.after(
      KILLER_RESEND_MS,
      () => this.#send(arrival, resends + 1),
    );
  }

  #crashSoon(engine: Engine): void {
    this.#timer.after(KILLER_CRASH_AFTER_MS, () => {
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
        return this.#leave(engine);
    }
  }

  #leave(engine: Engine): void {
    this.#timer.after(HOST_LIST_LAG_MS, () => {
      const policy = this.#policy(engine);
      this.#follow(this.#scheduler.setPolicy(policy, this.#timer.now()));
    });
    this.#timer.after(LEAVING_MS, () => (engine.isLeaving = true));
  }

  #report(): void {
    for (const engine of this.#engines) {
      const { upstream } = engine.member;
      const now = this.#timer.now();
      const load = engine.model.loadReport();
      if (load === undefined) continue;
      this.#follow(this.#scheduler.applyLoadReport({
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
      profile: member.speed,
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

function buildAsk(arrival: Arrival, resends: number): PlacementRequest {
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
