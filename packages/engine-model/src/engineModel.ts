import type {
  Digest,
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import { CacheEventLog } from "./cacheEventLog.ts";
import { RequestExecution } from "./requestExecution.ts";
import { KvMemory } from "./kvMemory.ts";
import { LoadHistory } from "./loadHistory.ts";
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

/** Guards whole steps against rounding of times. */
const STEP_TOLERANCE = 1e-6;

/** Equal steps of an unchanged batch, so that one timer call stands for all. */
interface Span {
  startedAt: Milliseconds;
  readonly stepMs: Milliseconds;
  steps: number;
  end: TimerSubscription;
}

/**
 * An engine that batches continuously. It admits in order of arrival as far as
 * batch and KV memory go; it reserves the whole length, so nothing is preempted.
 * Each step computes one token of every decoding request and a chunk of prompts,
 * the earliest first. An idle engine sets no timer.
 */
export class EngineModel {
  readonly #timer: Timer;
  readonly #speed: EngineProfile;
  readonly #maximumSteps: number;
  readonly #waiting = new Map<string, RequestExecution>();
  readonly #running = new Map<string, RequestExecution>();
  readonly #memory: KvMemory;
  readonly #cacheEvents: CacheEventLog;
  readonly #load: LoadHistory;
  readonly #counters = {
    prefillTokens: 0,
    wastedPrefillTokens: 0,
    cachedTokens: 0,
    outputTokens: 0,
    finished: 0,
    cancelled: 0,
    lost: 0,
  };
  #slowness = 1;
  #span: Span | undefined;
  #isUp = true;
  #isPaused = false;
  #isTelling = false;

  constructor(options: EngineModelOptions) {
    this.#timer = options.timer;
    this.#speed = options.profile;
    this.#maximumSteps = options.maximumStepsPerEvent ?? Infinity;
    this.#load = new LoadHistory(options.reportLagMs ?? 0);
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

  get isUp(): boolean {
    return this.#isUp;
  }

  get isPaused(): boolean {
    return this.#isPaused;
  }

  get counters(): EngineCounters {
    return { ...this.#counters };
  }

  /** Queues a request; false when the engine is down. */
  submit(request: EngineRequest, listener: EngineListener): boolean {
    if (!this.#isUp) return false;
    if (this.#waiting.has(request.id) || this.#running.has(request.id)) {
      throw new Error(`Request ${request.id} is in the engine already`);
    }
    const run = new RequestExecution(request, listener);
    this.#waiting.set(request.id, run);
    this.#recordLoad();
    if (this.#canAdmit(run)) this.#interrupt();
    this.#plan();
    return true;
  }

  /** Drops a request; the prompt tokens wasted on it, `undefined` when it is not here. */
  cancel(id: string): number | undefined {
    const run = this.#waiting.get(id) ?? this.#running.get(id);
    if (run === undefined) return undefined;
    if (this.#running.has(id)) this.#interrupt();
    if (run.isEnded) return undefined;
    this.#drop(run);
    this.#counters.cancelled++;
    this.#counters.wastedPrefillTokens += run.prefilledTokens;
    this.#recordLoad();
    return run.prefilledTokens;
  }

  /** Makes every later step so many times as long; 1 is the usual speed. */
  slowDown(factor: number): void {
    this.#slowness = factor;
    this.#interrupt();
  }

  /** Stops all work after the completed steps; requests still queue. */
  pause(): void {
    if (this.#isPaused) return;
    this.#interrupt();
    this.#isPaused = true;
    this.#span?.end.cancel();
    this.#span = undefined;
  }

  /** Goes on after a pause; the interrupted step is done again. */
  resume(): void {
    this.#isPaused = false;
    this.#plan();
  }

  /** Loses all requests and the cache; nothing is taken in until a restart. */
  crash(): void {
    if (!this.#isUp) return;
    this.#interrupt();
    this.#isUp = false;
    this.#span?.end.cancel();
    this.#span = undefined;
    this.#memory.clearCache();
    const lost = [...this.#running.values(), ...this.#waiting.values()];
    for (const run of lost) this.#drop(run);
    this.#recordLoad();
    for (const { prefilledTokens: prefilled, listener } of lost) {
      this.#counters.lost++;
      this.#counters.wastedPrefillTokens += prefilled;
      listener({ kind: "lost", prefilledTokens: prefilled });
    }
  }

  /** Takes requests again after a crash, empty, at the usual speed. */
  restart(): void {
    this.#isUp = true;
    this.#isPaused = false;
    this.#slowness = 1;
  }

  /** The load one report lag ago; `undefined` while the engine is down. */
  loadReport(): EngineLoad | undefined {
    return this.#isUp ? this.#load.delayedLoad(this.#timer.now()) : undefined;
  }

  /** Published cache events past a sequence number. */
  cacheEvents(after: number): EngineCacheEvent[] {
    return this.#cacheEvents.eventsAfter(after);
  }

  /** Those of the blocks that the cache holds. */
  exportBlocks(digests: readonly Digest[]): Digest[] {
    return this.#memory.cachedBlocks(digests);
  }

  /** Takes in blocks of a prompt, the first block first. */
  importBlocks(digests: readonly Digest[]): void {
    if (this.#isUp) this.#memory.store(digests);
  }

  #plan(): void {
    if (this.#span || !this.#isUp || this.#isPaused || this.#isTelling) return;
    this.#admit();
    if (this.#running.size === 0) return;
    const plan = planSteps(this.#running.values(), this.#speed);
    const steps = Math.min(plan.steps, this.#maximumSteps);
    this.#startSpan(plan.stepMs * this.#slowness, steps);
  }

  #startSpan(stepMs: Milliseconds, steps: number): void {
    const end = this.#timer.after(stepMs * steps, () => this.#endSpan());
    this.#span = { startedAt: this.#timer.now(), stepMs, steps, end };
  }

  #endSpan(): void {
    const { steps } = this.#span!;
    this.#span = undefined;
    this.#apply(steps);
    this.#plan();
  }

  /** Counts the completed steps of the span and lets only the current one finish. */
  #interrupt(): void {
    const span = this.#span;
    if (span === undefined || span.steps === 1) return;
    const elapsed = this.#timer.now() - span.startedAt;
    const completed = Math.min(
      Math.floor(elapsed / span.stepMs + STEP_TOLERANCE),
      span.steps - 1,
    );
    span.end.cancel();
    span.startedAt += completed * span.stepMs;
    span.steps = 1;
    const rest = span.startedAt + span.stepMs - this.#timer.now();
    span.end = this.#timer.after(Math.max(0, rest), () => this.#endSpan());
    if (completed > 0) this.#apply(completed);
  }

  #apply(steps: number): void {
    const told = [];
    for (const run of this.#running.values()) {
      const event = this.#advance(run, steps);
      if (event !== undefined) told.push({ run, event });
    }
    this.#isTelling = true;
    for (const { run, event } of told) {
      if (!run.isEnded) run.listener(event);
      if (run.isComplete) this.#finish(run);
    }
    this.#isTelling = false;
  }

  #advance(run: RequestExecution, steps: number): EngineEvent | undefined {
    const { prefilledTokens: prefilled, generatedTokens: generated } = run;
    const event = run.advance(steps);
    this.#counters.prefillTokens += run.prefilledTokens - prefilled;
    this.#counters.outputTokens += run.generatedTokens - generated;
    if (event?.kind === "firstToken") {
      this.#memory.store(run.request.prefixDigests);
    }
    return event;
  }

  #finish(run: RequestExecution): void {
    if (run.isEnded) return;
    this.#drop(run);
    this.#counters.finished++;
    this.#recordLoad();
    run.listener({ kind: "finished", cachedTokens: run.cachedTokens });
  }

  #drop(run: RequestExecution): void {
    run.isEnded = true;
    this.#waiting.delete(run.request.id);
    if (!this.#running.delete(run.request.id)) return;
    this.#memory.release(run.totalTokens);
  }

  #admit(): void {
    for (const run of this.#waiting.values()) {
      if (!this.#canAdmit(run)) break;
      this.#waiting.delete(run.request.id);
      this.#start(run);
    }
    this.#recordLoad();
  }

  #canAdmit(run: RequestExecution): boolean {
    if (this.#running.size === 0) return true;
    return this.#running.size < this.#speed.maximumBatch &&
      this.#memory.hasCapacity(run.totalTokens);
  }

  #start(run: RequestExecution): void {
    const { request } = run;
    const matchedTokens = this.#memory.matchPrefix(request.prefixDigests);
    // The last prompt token is always computed; it gives the first answer token.
    run.cachedTokens = Math.min(matchedTokens, request.promptTokens - 1);
    run.remainingPrefillTokens = request.promptTokens - run.cachedTokens;
    this.#counters.cachedTokens += run.cachedTokens;
    this.#memory.reserve(run.totalTokens);
    this.#running.set(request.id, run);
  }

  #recordLoad(): void {
    this.#load.record({
      takenAt: this.#timer.now(),
      running: this.#running.size,
      waiting: this.#waiting.size,
      memoryShare: this.#memory.reservedShare,
    });
  }
}
