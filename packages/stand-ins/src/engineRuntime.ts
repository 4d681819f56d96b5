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

/** Marker in a prompt that crashes the engine at the first token. */
export const POISON_MARKER = "[[poison]]";

/** Real time that one token event may cover, which limits the event rate. */
const TOKEN_EVENT_INTERVAL_MS = 4;

/** Options of an {@link EngineRuntime}; lags are in engine time. */
export interface EngineRuntimeOptions {
  timer?: Timer;
  random?: Random;
  generation?: HardwareGeneration;
  /** Overrides the profile of `generation`. */
  profile?: EngineProfile;
  /** Factor by which the engine runs faster than real time. */
  timeScale?: number;
  reportLagMs?: Milliseconds;
  cacheEventLagMs?: Milliseconds;
  cacheEventLossRate?: number;
  /** Real time after which a request without a client is cancelled. */
  resumeWindowMs?: Milliseconds;
  /** Real time from a crash to the restart; by default there is no restart. */
  restartAfterMs?: Milliseconds;
  /** Called after each crash. */
  onCrash?: () => void;
}

/** Runs an engine model in scaled real time and holds its responses. */
export class EngineRuntime {
  readonly model: EngineModel;
  readonly runs = new RunLog();
  readonly #timer: Timer;
  readonly #scaledTimer: ScaledTimer;
  readonly #timeScale: number;
  readonly #resumeWindowMs: Milliseconds;
  readonly #restartAfterMs: Milliseconds | undefined;
  readonly #responses = new Map<string, EngineResponse>();
  readonly #scheduledCalls = new Set<TimerSubscription>();
  readonly #gate = new Gate();
  readonly #onCrash: () => void;
  #submittedCount = 0;

  constructor(options: EngineRuntimeOptions = {}) {
    const profile = options.profile ??
      HARDWARE_GENERATIONS[options.generation ?? "g2"];
    this.#timeScale = options.timeScale ?? 1;
    this.#timer = options.timer ?? new SystemTimer();
    this.#scaledTimer = new ScaledTimer(this.#timer, this.#timeScale);
    this.#resumeWindowMs = options.resumeWindowMs ?? 10_000;
    this.#restartAfterMs = options.restartAfterMs;
    this.#onCrash = options.onCrash ?? ((): void => {});
    const eventIntervalMs = TOKEN_EVENT_INTERVAL_MS * this.#timeScale;
    this.model = new EngineModel({
      timer: this.#scaledTimer,
      random: options.random ?? new SystemRandom(),
      profile,
      reportLagMs: options.reportLagMs ?? 1_000,
      cacheEventLagMs: options.cacheEventLagMs ?? 2_000,
      cacheEventLossRate: options.cacheEventLossRate ?? 0.05,
      maximumStepsPerEvent: Math.max(
        1,
        Math.floor(eventIntervalMs / profile.decodeStepMs),
      ),
    });
  }

  /** Submits a request; returns `undefined` if the engine is down. */
  submit(request: CompletionRequest): EngineResponse | undefined {
    const { nonce, promptTokens, prefixDigests } = request;
    // Duplicate nonces run twice, so that tests can detect double dispatches.
    const id = `${nonce}#${this.#submittedCount++}`;
    const response = new EngineResponse(id, request);
    const { outputTokens } = response;
    const isAccepted = this.model.submit(
      { id, promptTokens, prefixDigests, outputTokens },
      (event) => this.#applyEvent(response, event),
    );
    if (!isAccepted) return undefined;
    this.#responses.set(nonce, response);
    this.runs.recordStart(response);
    return response;
  }

  findResponse(nonce: string): EngineResponse | undefined {
    return this.#responses.get(nonce);
  }

  /** Cancels a request and drops its response; returns false if unknown. */
  cancel(nonce: string): boolean {
    const response = this.#responses.get(nonce);
    if (response === undefined) return false;
    this.#responses.delete(nonce);
    if (response.state !== "running") return true;
    this.model.cancel(response.id);
    response.cancel();
    return true;
  }

  /** Cancels a request unless a client reconnects within the resume window. */
  scheduleExpiry(response: EngineResponse): void {
    if (response.hasSubscribers) return;
    const { nonce } = response.request;
    this.#schedule(this.#resumeWindowMs, () => {
      if (!response.hasSubscribers && this.findResponse(nonce) === response) {
        this.cancel(nonce);
      }
    });
  }

  /** Drops requests and cache; `restartAfterMs` overrides the option. */
  crash(restartAfterMs = this.#restartAfterMs): void {
    this.model.crash();
    this.#responses.clear();
    this.#onCrash();
    if (restartAfterMs === undefined) return;
    this.#schedule(restartAfterMs, () => this.restart());
  }

  restart(): void {
    this.model.restart();
    this.#gate.open();
  }

  /** Suspends the engine like a stopped process, for `forMs` of real time. */
  pause(forMs?: Milliseconds): void {
    this.model.pause();
    this.#gate.close();
    if (forMs !== undefined) this.#schedule(forMs, () => this.resume());
  }

  resume(): void {
    this.model.resume();
    this.#gate.open();
  }

  /** Resolves when the engine is not paused. */
  whenResumed(): Promise<void> {
    return this.#gate.whenOpen();
  }

  /** Returns the lagging load in wall-clock time, or `undefined` while down. */
  loadReport(): EngineLoad | undefined {
    const load = this.model.loadReport();
    if (load === undefined) return undefined;
    const ageMs = (this.#scaledTimer.now() - load.takenAt) / this.#timeScale;
    return { ...load, takenAt: Math.round(this.#timer.wallNow() - ageMs) };
  }

  /** Returns the wall-clock time in seconds. */
  epochSeconds(): number {
    return Math.floor(this.#timer.wallNow() / 1_000);
  }

  /** Drops all requests and timers; {@link restart} makes it usable again. */
  stop(): void {
    for (const subscription of this.#scheduledCalls) subscription.cancel();
    this.#scheduledCalls.clear();
    this.model.crash();
    this.#responses.clear();
  }

  #schedule(delay: Milliseconds, callback: () => void): void {
    const subscription = this.#timer.after(delay, () => {
      this.#scheduledCalls.delete(subscription);
      callback();
    });
    this.#scheduledCalls.add(subscription);
  }

  #applyEvent(response: EngineResponse, event: EngineEvent): void {
    const isPoison = response.request.prompt.includes(POISON_MARKER);
    if (isPoison && event.kind === "firstToken") this.crash();
    else response.applyEvent(event);
  }
}
