import type { PoolClient } from "@wasabivane/coordination";
import type {
  FailureDomain,
  HostId,
  Metrics,
  Nonce,
  Random,
  Timer,
  TimerSubscription,
  UpstreamId,
} from "@wasabivane/common";
import type { AttemptOutcome, Decision } from "@wasabivane/decisions";
import type { Result } from "neverthrow";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import { BufferedResponse, type ResponseEnd } from "./bufferedResponse.ts";
import type { Dispatch, DispatchSummary, DispatchTarget } from "./dispatch.ts";
import { placementRequestOf } from "./placementRequest.ts";
import {
  attemptOutcomeOf,
  isNotRun,
  problemOfError,
  withUnknownEnding,
} from "./exchangeEnding.ts";
import { ModelDispatch } from "./modelDispatch.ts";
import { PlainDispatch } from "./plainDispatch.ts";
import { type Problem, problemOf, problemOfRefusal } from "./problem.ts";
import { RequestMetrics } from "./requestMetrics.ts";
import type { UpstreamClient } from "./upstreamClient.ts";
import type { UpstreamError } from "./upstreamError.ts";

const NONCE_BYTES = 16;
/** Upstreams tried while none took a byte; each refusal also ejects at the keeper. */
const MAX_REFUSED_CONNECTIONS = 3;
const RETRY_AFTER_MS = 1_000;
/** Five minutes: longer than a restart of an upstream takes. */
const MAX_RECONNECTS = 60;
const RECONNECT_MS = 5_000;

/** What an exchange needs from its process. */
export interface ExchangeServices {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly pools: PoolClient;
  readonly client: UpstreamClient;
}

/** Steps that a keyed request or a job adds around a dispatch. */
export interface ExchangeHooks {
  /** Runs right before the first byte leaves; a problem means that none does. */
  readonly beforeDispatch?: (
    target: DispatchTarget,
  ) => Promise<Problem | undefined>;
  /** Asks whoever else may have run the request before "not run" is said. */
  readonly confirmNotRun?: () => Promise<boolean>;
  /** Runs after a connection was refused: no byte has left after all. */
  readonly onConnectionRefused?: () => void;
  /** The upstream is settled for good: a refused connection is tried again, at no other. */
  readonly isUpstreamPinned?: boolean;
}

/** Options of an {@link Exchange}. */
export interface ExchangeOptions {
  readonly services: ExchangeServices;
  readonly hooks?: ExchangeHooks;
  /** Where the answer goes; a new record when left out. */
  readonly response?: BufferedResponse;
  /**
   * An earlier attempt under the same key may have run. Without this the caller
   * of an idempotent request, granted anew after "unknown", would be told "not
   * run" of a key that ran before.
   */
  readonly hasEarlierAttempt?: boolean;
  /** Called once, after the ending stands. */
  readonly onEnd?: (end: ResponseEnd) => void;
}

type Phase = "waiting" | "dispatched" | "ended";

/**
 * One accepted request from its ask to its ending. Every path leads to exactly
 * one ending of the record; after it nothing of the request can leave.
 */
export class Exchange {
  readonly request: AcceptedRequest;
  readonly response: BufferedResponse;
  readonly #services: ExchangeServices;
  readonly #hooks: ExchangeHooks;
  readonly #onEnd: (end: ResponseEnd) => void;
  readonly #mayHaveRun: boolean;
  readonly #abort = new AbortController();
  readonly #metrics: RequestMetrics;
  #phase: Phase = "waiting";
  #deadlineTimer: TimerSubscription | undefined;
  #target: DispatchTarget | undefined;
  #refusedConnections = 0;
  #isPastDeadline = false;

  constructor(
    request: AcceptedRequest,
    {
      services,
      hooks = {},
      response: record = new BufferedResponse(),
      hasEarlierAttempt: mayHaveRun = false,
      onEnd = () => {},
    }: ExchangeOptions,
  ) {
    this.request = request;
    this.#services = services;
    this.#hooks = hooks;
    this.#onEnd = onEnd;
    this.response = record;
    this.#mayHaveRun = mayHaveRun;
    this.#metrics = new RequestMetrics(request, services);
  }

  get phase(): Phase {
    return this.#phase;
  }

  get target(): DispatchTarget | undefined {
    return this.#target;
  }

  /** Asks the pool's keeper for a place. */
  start(): void {
    this.#armDeadline();
    this.#submit();
  }

  /** Sends the request to an upstream that was settled before; no place is asked for. */
  dispatchTo(target: DispatchTarget): void {
    this.#armDeadline();
    void this.#run(target);
  }

  /** Takes over a request that another process dispatched; no place is asked for. */
  resumeAt(target: DispatchTarget): Promise<void> {
    this.#armDeadline();
    this.#target = target;
    this.#phase = "dispatched";
    return this.#dispatch(target).resume().then((result) =>
      this.#conclude(target, result)
    );
  }

  /** Gives up: the caller hung up, or this host ends. */
  cancel(problem: Problem): void {
    if (this.#phase === "ended") return;
    if (this.#phase === "waiting") {
      this.#services.pools.withdraw(
        this.request.service.service,
        this.request.request,
      );
      this.end({ kind: "failed", problem });
      return;
    }
    this.#abortDispatch();
    this.end({ kind: "failed", problem: { ...problem, ending: "unknown" } });
  }

  /** Ends the exchange without an answer of an upstream. */
  end(end: ResponseEnd): void {
    if (this.#phase === "ended") return;
    this.#phase = "ended";
    this.#deadlineTimer?.cancel();
    const { confirmNotRun } = this.#hooks;
    if (confirmNotRun === undefined || !isNotRun(end)) this.#tell(end);
    else {
      void confirmNotRun().then((isConfirmed) =>
        this.#tell(isConfirmed ? end : withUnknownEnding(end))
      );
    }
  }

  #tell(end: ResponseEnd): void {
    const told = this.#mayHaveRun ? withUnknownEnding(end) : end;
    this.response.finish(told);
    this.#metrics.recordEnd(told);
    this.#onEnd(told);
  }

  #armDeadline(): void {
    const left = this.request.deadline - this.#services.timer.now();
    this.#deadlineTimer = this.#services.timer.after(
      left,
      () => this.#onDeadline(),
    );
  }

  #onDeadline(): void {
    this.#isPastDeadline = true;
    this.cancel(
      this.#phase === "waiting"
        ? problemOf("deadline-passed", { retryAfter: RETRY_AFTER_MS })
        : problemOf("answer-late"),
    );
  }

  #submit(): void {
    const decide = (decision: Decision): void =>
      void this.#onDecision(decision);
    this.#services.pools.submit(
      this.request.service.service,
      placementRequestOf(this.request, this.#services),
      {
        decide,
      },
    );
  }

  async #onDecision(decision: Decision): Promise<void> {
    if (this.#phase === "ended") return;
    if (decision.kind === "refuse") {
      this.end({
        kind: "failed",
        problem: problemOfRefusal(decision.reason, decision.retryAfter),
      });
      return;
    }
    this.#metrics.recordGrant();
    const target = this.#targetAt(decision.upstream);
    if (target === undefined) {
      this.#release(decision.upstream, { outcome: "upstream-refused" });
      this.end({
        kind: "failed",
        problem: problemOf("no-upstream", { retryAfter: RETRY_AFTER_MS }),
      });
      return;
    }
    await this.#run(target);
  }

  async #run(target: DispatchTarget): Promise<void> {
    const problem = await this.#hooks.beforeDispatch?.(target);
    // The hook waits for other hosts. The deadline may have passed meanwhile,
    // and an exchange that has ended must not send anything any more.
    if (this.phase === "ended" || problem !== undefined) {
      this.#release(target.upstream, { outcome: "cancelled" });
      if (problem !== undefined) this.end({ kind: "failed", problem });
      return;
    }
    this.#target = target;
    this.#phase = "dispatched";
    this.#conclude(target, await this.#dispatch(target).run());
  }

  #conclude(
    target: DispatchTarget,
    result: Result<DispatchSummary, UpstreamError>,
  ): void {
    if (result.isOk()) {
      const { status, outputTokens, cachedTokens } = result.value;
      const outcome = status >= 500 ? "upstream-error" : "whole";
      this.#release(target.upstream, { outcome, outputTokens, cachedTokens });
      this.#metrics.recordResponse(result.value);
      this.end({ kind: "whole" });
      return;
    }
    this.#release(target.upstream, {
      outcome: attemptOutcomeOf(result.error, {
        isPastDeadline: this.#isPastDeadline,
      }),
    });
    if (result.error.kind === "refused") this.#onRefusedConnection(target);
    else this.end({ kind: "failed", problem: problemOfError(result.error) });
  }

  /** No byte left, so another upstream may be asked: this is still the first dispatch. */
  #onRefusedConnection(target: DispatchTarget): void {
    this.#services.metrics.count("safeguard.connection_refused");
    this.#hooks.onConnectionRefused?.();
    this.#refusedConnections++;
    if (this.#phase === "ended") return;
    if (this.#hooks.isUpstreamPinned) {
      this.#reconnectLater(target);
      return;
    }
    this.#target = undefined;
    this.#phase = "waiting";
    if (this.#refusedConnections < MAX_REFUSED_CONNECTIONS) {
      this.#submit();
      return;
    }
    this.end({
      kind: "failed",
      problem: problemOf("no-upstream", { retryAfter: RETRY_AFTER_MS }),
    });
  }

  /** Still no byte has left, so a later connection is the first dispatch. */
  #reconnectLater(target: DispatchTarget): void {
    if (this.#refusedConnections >= MAX_RECONNECTS) {
      this.end({ kind: "failed", problem: problemOf("no-upstream") });
      return;
    }
    this.#target = undefined;
    this.#phase = "waiting";
    this.#services.timer.after(RECONNECT_MS, () => {
      if (this.phase === "ended") return;
      this.#target = target;
      this.#phase = "dispatched";
      void this.#dispatch(target).run()
        .then((result) => this.#conclude(target, result));
    });
  }

  #abortDispatch(): void {
    const target = this.#target;
    this.#abort.abort();
    if (target === undefined || this.request.service.kind !== "model") return;
    void this.#services.client.cancel(target.url, target.nonce);
  }

  #release(
    upstream: UpstreamId,
    { outcome, outputTokens = 0, cachedTokens }: {
      outcome: AttemptOutcome;
      outputTokens?: number;
      cachedTokens?: number | undefined;
    },
  ): void {
    this.#services.pools.finish(this.request.service.service, {
      request: this.request.request,
      upstream,
      outcome,
      outputTokens,
      ...(cachedTokens === undefined ? {} : { cachedTokens }),
    });
  }

  #dispatch(target: DispatchTarget): Dispatch {
    const { client, timer, metrics, pools } = this.#services;
    const Kind = this.request.service.kind === "model"
      ? ModelDispatch
      : PlainDispatch;
    return new Kind({
      client,
      timer,
      request: this.request,
      target,
      response: this.response,
      signal: this.#abort.signal,
      onFirstToken: () => {
        this.#metrics.recordFirstToken();
        pools.recordFirstToken(
          this.request.service.service,
          this.request.request,
        );
      },
      onToken: () => this.#metrics.recordToken(),
      onSafeguard: (name) => metrics.count(`safeguard.${name}`),
    });
  }

  #targetAt(upstream: UpstreamId): DispatchTarget | undefined {
    const found = this.request.bundle.upstreams.find((candidate) =>
      candidate.upstream === upstream
    );
    if (found === undefined) return undefined;
    return {
      upstream,
      url: found.url,
      nonce: this.#services.random.hex(NONCE_BYTES) as Nonce,
    };
  }
}
