import type {
  Digest,
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import { CacheEventLog } from "./cacheEventLog.ts";
import { KvMemory } from "./kvMemory.ts";
import { LoadHistory } from "./loadHistory.ts";
import { RequestExecution } from "./requestExecution.ts";
import { planSteps } from "./stepPlan.ts";
import type {
  EngineCacheEvent,
  EngineCounters,
  EngineEvent,
  EngineListener,
  EngineLoad,
  EngineModelOptions,
  EngineProfile,
  EngineRequest,
} from "./types.ts";

/** Absorbs floating-point errors when completed steps are counted. */
const STEP_TOLERANCE = 1e-6;

/** Consecutive equal steps of an unchanged batch, run on a single timer. */
interface StepSequence {
  startedAt: Milliseconds;
  readonly stepMs: Milliseconds;
  steps: number;
  end: TimerSubscription;
}

/**
 * Simulates an inference engine with continuous batching.
 *
 * Requests are admitted in arrival order while the batch and the KV memory have
 * capacity. They reserve memory for prompt and output on admission, so that none
 * is preempted. Each step decodes one token per decoding request and prefills a
 * chunk of prompt tokens, oldest request first.
 */
export class EngineModel {
  readonly #timer: Timer;
  readonly #profile: EngineProfile;
  readonly #maximumStepsPerEvent: number;
  readonly #waiting = new Map<string, RequestExecution>();
  readonly #running = new Map<string, RequestExecution>();
  readonly #memory: KvMemory;
  readonly #cacheEvents: CacheEventLog;
  readonly #loadHistory: LoadHistory;
  readonly #counters = {
    prefillTokens: 0,
    wastedPrefillTokens: 0,
    cachedTokens: 0,
    outputTokens: 0,
    finished: 0,
    cancelled: 0,
    lost: 0,
  };
  #slowdownFactor = 1;
  #stepSequence: StepSequence | undefined;
  #isUp = true;
  #isPaused = false;
  #isNotifying = false;

  constructor(options: EngineModelOptions) {
    this.#timer = options.timer;
    this.#profile = options.profile;
    this.#maximumStepsPerEvent = options.maximumStepsPerEvent ?? Infinity;
    this.#loadHistory = new LoadHistory(options.reportLagMs ?? 0);
    this.#cacheEvents = new CacheEventLog({
      timer: options.timer,
      random: options.random,
      lagMs: options.cacheEventLagMs ?? 0,
      lossRate: options.cacheEventLossRate ?? 0,
    });
    this.#memory = new KvMemory(
      options.profile.kvCapacityTokens,
      this.#cacheEvents,
    );
  }

  /** Whether the engine is running, that is, not crashed. */
  get isUp(): boolean {
    return this.#isUp;
  }

  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** A copy of the counters. */
  get counters(): EngineCounters {
    return { ...this.#counters };
  }

  /** Queues a request; returns false if the engine is down. */
  submit(request: EngineRequest, listener: EngineListener): boolean {
    if (!this.#isUp) return false;
    if (this.#waiting.has(request.id) || this.#running.has(request.id)) {
      throw new Error(`Request "${request.id}" is already queued or running`);
    }
    const execution = new RequestExecution(request, listener);
    this.#waiting.set(request.id, execution);
    this.#recordLoad();
    if (this.#canAdmit(execution)) this.#truncateStepSequence();
    this.#scheduleNextSteps();
    return true;
  }

  /**
   * Cancels a request. Returns the prompt tokens already computed for it, or
   * `undefined` if it is unknown or has just finished.
   */
  cancel(id: string): number | undefined {
    const execution = this.#waiting.get(id) ?? this.#running.get(id);
    if (execution === undefined) return undefined;
    if (this.#running.has(id)) this.#truncateStepSequence();
    if (execution.isEnded) return undefined;
    this.#remove(execution);
    this.#counters.cancelled++;
    this.#counters.wastedPrefillTokens += execution.prefilledTokens;
    this.#recordLoad();
    return execution.prefilledTokens;
  }

  /** Multiplies the duration of all later steps; 1 is normal speed. */
  slowDown(factor: number): void {
    this.#slowdownFactor = factor;
    this.#truncateStepSequence();
  }

  /** Suspends execution; requests can still be queued. */
  pause(): void {
    if (this.#isPaused) return;
    this.#truncateStepSequence();
    this.#isPaused = true;
    this.#stepSequence?.end.cancel();
    this.#stepSequence = undefined;
  }

  /** Continues after a pause; the interrupted step runs again. */
  resume(): void {
    this.#isPaused = false;
    this.#scheduleNextSteps();
  }

  /** Drops all requests and the cache; rejects requests until a restart. */
  crash(): void {
    if (!this.#isUp) return;
    this.#truncateStepSequence();
    this.#isUp = false;
    this.#stepSequence?.end.cancel();
    this.#stepSequence = undefined;
    this.#memory.clearCache();
    const lost = [...this.#running.values(), ...this.#waiting.values()];
    for (const execution of lost) this.#remove(execution);
    this.#recordLoad();
    for (const { prefilledTokens, listener } of lost) {
      this.#counters.lost++;
      this.#counters.wastedPrefillTokens += prefilledTokens;
      listener({ kind: "lost", prefilledTokens });
    }
  }

  /** Accepts requests again after a crash, at normal speed. */
  restart(): void {
    this.#isUp = true;
    this.#isPaused = false;
    this.#slowdownFactor = 1;
  }

  /** Returns the load one report lag ago, or `undefined` while down. */
  loadReport(): EngineLoad | undefined {
    return this.#isUp
      ? this.#loadHistory.delayedLoad(this.#timer.now())
      : undefined;
  }

  /** Returns the published cache events after a sequence number. */
  cacheEvents(after: number): EngineCacheEvent[] {
    return this.#cacheEvents.eventsAfter(after);
  }

  /** Returns the digests whose blocks are in the prefix cache. */
  exportBlocks(digests: readonly Digest[]): Digest[] {
    return this.#memory.cachedBlocks(digests);
  }

  /** Adds the blocks of a prompt, in prompt order, to the prefix cache. */
  importBlocks(digests: readonly Digest[]): void {
    if (this.#isUp) this.#memory.store(digests);
  }

  #scheduleNextSteps(): void {
    if (
      this.#stepSequence || !this.#isUp || this.#isPaused || this.#isNotifying
    ) return;
    this.#admit();
    if (this.#running.size === 0) return;
    const plan = planSteps(this.#running.values(), this.#profile);
    const steps = Math.min(plan.steps, this.#maximumStepsPerEvent);
    this.#startSteps(plan.stepMs * this.#slowdownFactor, steps);
  }

  #startSteps(stepMs: Milliseconds, steps: number): void {
    const end = this.#timer.after(stepMs * steps, () => this.#completeSteps());
    this.#stepSequence = { startedAt: this.#timer.now(), stepMs, steps, end };
  }

  #completeSteps(): void {
    const { steps } = this.#stepSequence!;
    this.#stepSequence = undefined;
    this.#applySteps(steps);
    this.#scheduleNextSteps();
  }

  /** Applies the completed steps and cuts the sequence to the current step. */
  #truncateStepSequence(): void {
    const sequence = this.#stepSequence;
    if (sequence === undefined || sequence.steps === 1) return;
    const elapsed = this.#timer.now() - sequence.startedAt;
    const completed = Math.min(
      Math.floor(elapsed / sequence.stepMs + STEP_TOLERANCE),
      sequence.steps - 1,
    );
    sequence.end.cancel();
    sequence.startedAt += completed * sequence.stepMs;
    sequence.steps = 1;
    const remainingMs = sequence.startedAt + sequence.stepMs -
      this.#timer.now();
    sequence.end = this.#timer.after(
      Math.max(0, remainingMs),
      () => this.#completeSteps(),
    );
    if (completed > 0) this.#applySteps(completed);
  }

  #applySteps(steps: number): void {
    const notifications = [];
    for (const execution of this.#running.values()) {
      const event = this.#advance(execution, steps);
      if (event !== undefined) notifications.push({ execution, event });
    }
    this.#isNotifying = true;
    for (const { execution, event } of notifications) {
      if (!execution.isEnded) execution.listener(event);
      if (execution.isComplete) this.#finish(execution);
    }
    this.#isNotifying = false;
  }

  #advance(
    execution: RequestExecution,
    steps: number,
  ): EngineEvent | undefined {
    const { prefilledTokens, generatedTokens } = execution;
    const event = execution.advance(steps);
    this.#counters.prefillTokens += execution.prefilledTokens - prefilledTokens;
    this.#counters.outputTokens += execution.generatedTokens - generatedTokens;
    if (event?.kind === "firstToken") {
      this.#memory.store(execution.request.prefixDigests);
    }
    return event;
  }

  #finish(execution: RequestExecution): void {
    if (execution.isEnded) return;
    this.#remove(execution);
    this.#counters.finished++;
    this.#recordLoad();
    execution.listener({
      kind: "finished",
      cachedTokens: execution.cachedTokens,
    });
  }

  #remove(execution: RequestExecution): void {
    execution.isEnded = true;
    this.#waiting.delete(execution.request.id);
    if (!this.#running.delete(execution.request.id)) return;
    this.#memory.release(execution.requiredKvTokens);
  }

  #admit(): void {
    for (const execution of this.#waiting.values()) {
      if (!this.#canAdmit(execution)) break;
      this.#waiting.delete(execution.request.id);
      this.#startExecution(execution);
    }
    this.#recordLoad();
  }

  #canAdmit(execution: RequestExecution): boolean {
    if (this.#running.size === 0) return true;
    return this.#running.size < this.#profile.maximumBatch &&
      this.#memory.hasCapacity(execution.requiredKvTokens);
  }

  #startExecution(execution: RequestExecution): void {
    const { request } = execution;
    const matchedTokens = this.#memory.matchPrefix(request.prefixDigests);
    // The last prompt token is never cached: it yields the first output token.
    execution.cachedTokens = Math.min(matchedTokens, request.promptTokens - 1);
    execution.remainingPrefillTokens = request.promptTokens -
      execution.cachedTokens;
    this.#counters.cachedTokens += execution.cachedTokens;
    this.#memory.reserve(execution.requiredKvTokens);
    this.#running.set(request.id, execution);
  }

  #recordLoad(): void {
    this.#loadHistory.record({
      takenAt: this.#timer.now(),
      running: this.#running.size,
      waiting: this.#waiting.size,
      memoryShare: this.#memory.reservedShare,
    });
  }
}
