import {
  type Milliseconds,
  type Random,
  SystemRandom,
  SystemTimer,
  type Timer,
  type TimerSubscription,
} from "@wasabivane/common";
import {
  type EngineEvent,
  type EngineLoad,
  EngineModel,
  type EngineProfile,
  HARDWARE_GENERATIONS,
  type HardwareGeneration,
} from "@wasabivane/engine-model";
import { type CompletionRequest, EngineResponse } from "./engineResponse.ts";
import { Gate } from "./gate.ts";
import { RunLog } from "./runLog.ts";
import { ScaledTimer } from "./scaledTimer.ts";

/** A prompt with this text crashes the engine that runs it. */
export const POISON_MARKER = "[[poison]]";

/** Real time that the steps of one event should at least take. */
const SHORTEST_EVENT_MS = 4;

/** Options of an engine that runs in scaled real time; lags are in model time. */
export interface EngineRuntimeOptions {
  timer?: Timer;
  random?: Random;
  generation?: HardwareGeneration;
  /** Overrides the generation's. */
  profile?: EngineProfile;
  /** How many times as fast as real time the engine works. */
  timeScale?: number;
  reportLagMs?: Milliseconds;
  cacheEventLagMs?: Milliseconds;
  cacheEventLossRate?: number;
  /** Real time that a request is kept while no connection reads its answer. */
  resumeWindowMs?: Milliseconds;
  /** Real time from a crash to the restart; without it a crashed engine stays down. */
  restartAfterMs?: Milliseconds;
  /** Called after each crash. */
  onCrash?: () => void;
}

/** The engine model in scaled real time with the answers of its requests, without HTTP. */
export class EngineRuntime {
  readonly model: EngineModel;
  readonly runs = new RunLog();
  readonly #timer: Timer;
  readonly #scaledTimer: ScaledTimer;
  readonly #timeScale: number;
  readonly #resumeWindowMs: Milliseconds;
  readonly #restartAfterMs: Milliseconds | undefined;
  readonly #answers = new Map<string, EngineResponse>();
  readonly #pending = new Set<TimerSubscription>();
  readonly #gate = new Gate();
  readonly #onCrash: () => void;
  #submitted = 0;

  constructor(options: EngineRuntimeOptions = {}) {
    const speed = options.profile ??
      HARDWARE_GENERATIONS[options.generation ?? "g2"];
    this.#timeScale = options.timeScale ?? 1;
    this.#timer = options.timer ?? new SystemTimer();
    this.#scaledTimer = new ScaledTimer(this.#timer, this.#timeScale);
    this.#resumeWindowMs = options.resumeWindowMs ?? 10_000;
    this.#restartAfterMs = options.restartAfterMs;
    this.#onCrash = options.onCrash ?? ((): void => {});
    const eventMs = SHORTEST_EVENT_MS * this.#timeScale;
    this.model = new EngineModel({
      timer: this.#scaledTimer,
      random: options.random ?? new SystemRandom(),
      profile: speed,
      reportLagMs: options.reportLagMs ?? 1_000,
      cacheEventLagMs: options.cacheEventLagMs ?? 2_000,
      cacheEventLossRate: options.cacheEventLossRate ?? 0.05,
      maximumStepsPerEvent: Math.max(
        1,
        Math.floor(eventMs / speed.decodeStepMs),
      ),
    });
  }

  /** Starts a request; `undefined` when the engine is down. */
  submit(request: CompletionRequest): EngineResponse | undefined {
    const { nonce, promptTokens, prefixDigests } = request;
    // A nonce that comes twice runs twice, so that a test can see the fault.
    const id = `${nonce}#${this.#submitted++}`;
    const answer = new EngineResponse(id, request);
    const { outputTokens } = answer;
    const isTaken = this.model.submit(
      { id, promptTokens, prefixDigests, outputTokens },
      (event) => this.#apply(answer, event),
    );
    if (!isTaken) return undefined;
    this.#answers.set(nonce, answer);
    this.runs.recordStart(answer);
    return answer;
  }

  findResponse(nonce: string): EngineResponse | undefined {
    return this.#answers.get(nonce);
  }

  /** Ends a request and forgets its answer; false when it is not known. */
  cancel(nonce: string): boolean {
    const answer = this.#answers.get(nonce);
    if (answer === undefined) return false;
    this.#answers.delete(nonce);
    if (answer.state !== "running") return true;
    this.model.cancel(answer.id);
    answer.cancel();
    return true;
  }

  /** Forgets a request when nothing reads its answer within the resume window. */
  scheduleExpiry(answer: EngineResponse): void {
    if (answer.hasReaders) return;
    const { nonce } = answer.request;
    this.#later(this.#resumeWindowMs, () => {
      if (!answer.hasReaders && this.findResponse(nonce) === answer) {
        this.cancel(nonce);
      }
    });
  }

  /** Loses everything; `restartAfterMs` in real time goes before the option. */
  crash(restartAfterMs = this.#restartAfterMs): void {
    this.model.crash();
    this.#answers.clear();
    this.#onCrash();
    if (restartAfterMs === undefined) return;
    this.#later(restartAfterMs, () => this.restart());
  }

  restart(): void {
    this.model.restart();
    this.#gate.open();
  }

  /** Stops everything, as a stopped process would; `forMs` in real time. */
  pause(forMs?: Milliseconds): void {
    this.model.pause();
    this.#gate.close();
    if (forMs !== undefined) this.#later(forMs, () => this.resume());
  }

  resume(): void {
    this.model.resume();
    this.#gate.open();
  }

  /** Resolves once the engine is not paused. */
  whenResumed(): Promise<void> {
    return this.#gate.whenOpen();
  }

  /** The lagging load report; `undefined` while the engine is down. */
  loadReport(): EngineLoad | undefined {
    const load = this.model.loadReport();
    if (load === undefined) return undefined;
    const age = (this.#scaledTimer.now() - load.takenAt) / this.#timeScale;
    return { ...load, takenAt: Math.round(this.#timer.wallNow() - age) };
  }

  epochSeconds(): number {
    return Math.floor(this.#timer.wallNow() / 1_000);
  }

  /** Drops all work and pending calls; {@link restart} makes it usable again. */
  stop(): void {
    for (const subscription of this.#pending) subscription.cancel();
    this.#pending.clear();
    this.model.crash();
    this.#answers.clear();
  }

  #later(delay: Milliseconds, callback: () => void): void {
    const subscription = this.#timer.after(delay, () => {
      this.#pending.delete(subscription);
      callback();
    });
    this.#pending.add(subscription);
  }

  #apply(answer: EngineResponse, event: EngineEvent): void {
    const isPoison = answer.request.prompt.includes(POISON_MARKER);
    if (isPoison && event.kind === "firstToken") this.crash();
    else answer.applyEvent(event);
  }
}
