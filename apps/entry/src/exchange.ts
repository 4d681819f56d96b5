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
/** Refused connections after which the request fails. */
const MAX_REFUSED_CONNECTIONS = 3;
const RETRY_AFTER_MS = 1_000;
/** Covers five minutes, in which an upstream can restart. */
const MAX_RECONNECTS = 60;
const RECONNECT_DELAY_MS = 5_000;

/** Services of the process that an {@link Exchange} uses. */
export interface ExchangeServices {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly timer: Timer;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly pools: PoolClient;
  readonly client: UpstreamClient;
}

/** Hooks by which keyed requests and jobs extend a dispatch. */
export interface ExchangeHooks {
  /**
   * Called before the first byte is sent; a returned problem prevents sending.
   */
  readonly beforeDispatch?: (
    target: DispatchTarget,
  ) => Promise<Problem | undefined>;
  /**
   * Confirms that no other host has run the request, before "not run" is
   * reported.
   */
  readonly confirmNotRun?: () => Promise<boolean>;
  /** Called when the connection was refused, so that no byte was sent. */
  readonly onConnectionRefused?: () => void;
  /** Whether a refused connection is retried at the same upstream only. */
  readonly isUpstreamPinned?: boolean;
}

/** Options of an {@link Exchange}. */
export interface ExchangeOptions {
  readonly services: ExchangeServices;
  readonly hooks?: ExchangeHooks;
  /** Receives the response; a new one by default. */
  readonly response?: BufferedResponse;
  /**
   * Whether an earlier attempt with the same key may have run, so that "not
   * run" must be reported as "unknown".
   */
  readonly hasEarlierAttempt?: boolean;
  /** Called once, after the response has ended. */
  readonly onEnd?: (end: ResponseEnd) => void;
}

/**
 * `waiting` means that no dispatch is in progress, such as before placement or
 * before a reconnect.
 */
type Phase = "waiting" | "dispatched" | "ended";

/**
 * Processes one accepted request: placement, dispatch and response. Ends the
 * response exactly once; nothing is sent to an upstream after that.
 */
export class Exchange {
  readonly request: AcceptedRequest;
  readonly response: BufferedResponse;
  readonly #services: ExchangeServices;
  readonly #hooks: ExchangeHooks;
  readonly #onEnd: (end: ResponseEnd) => void;
  readonly #hasEarlierAttempt: boolean;
  readonly #abortController = new AbortController();
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
      response = new BufferedResponse(),
      hasEarlierAttempt = false,
      onEnd = () => {},
    }: ExchangeOptions,
  ) {
    this.request = request;
    this.#services = services;
    this.#hooks = hooks;
    this.#onEnd = onEnd;
    this.response = response;
    this.#hasEarlierAttempt = hasEarlierAttempt;
    this.#metrics = new RequestMetrics(request, services);
  }

  get phase(): Phase {
    return this.#phase;
  }

  get target(): DispatchTarget | undefined {
    return this.#target;
  }

  /** Requests placement from the pool's coordinator. */
  start(): void {
    this.#startDeadlineTimer();
    this.#requestPlacement();
  }

  /** Sends the request to a known upstream, without requesting placement. */
  dispatchTo(target: DispatchTarget): void {
    this.#startDeadlineTimer();
    void this.#run(target);
  }

  /** Resumes a request that another process dispatched to an upstream. */
  resumeDispatch(target: DispatchTarget): Promise<void> {
    this.#startDeadlineTimer();
    this.#target = target;
    this.#phase = "dispatched";
    return this.#createDispatch(target).resume().then((result) =>
      this.#handleResult(target, result)
    );
  }

  /** Cancels the exchange, such as when the caller disconnects. */
  cancel(problem: Problem): void {
    if (this.#phase === "ended") return;
    if (this.#phase === "waiting") {
      this.#services.pools.withdraw(
        this.request.service.service,
        this.request.requestId,
      );
      this.end({ kind: "failed", problem });
      return;
    }
    this.#abortDispatch();
    this.end({ kind: "failed", problem: { ...problem, ending: "unknown" } });
  }

  /** Ends the exchange. Later calls have no effect. */
  end(end: ResponseEnd): void {
    if (this.#phase === "ended") return;
    this.#phase = "ended";
    this.#deadlineTimer?.cancel();
    const { confirmNotRun } = this.#hooks;
    if (confirmNotRun === undefined || !isNotRun(end)) {
      this.#finishResponse(end);
    } else {
      void confirmNotRun().then((isConfirmed) =>
        this.#finishResponse(isConfirmed ? end : withUnknownEnding(end))
      );
    }
  }

  #finishResponse(end: ResponseEnd): void {
    const reportedEnd = this.#hasEarlierAttempt ? withUnknownEnding(end) : end;
    this.response.finish(reportedEnd);
    this.#metrics.recordEnd(reportedEnd);
    this.#onEnd(reportedEnd);
  }

  #startDeadlineTimer(): void {
    const remaining = this.request.deadline - this.#services.timer.now();
    this.#deadlineTimer = this.#services.timer.after(
      remaining,
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

  #requestPlacement(): void {
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
    const target = this.#createTarget(decision.upstream);
    if (target === undefined) {
      this.#reportAttempt(decision.upstream, { outcome: "upstream-refused" });
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
    // The exchange may have ended while the hook waited for other hosts.
    if (this.phase === "ended" || problem !== undefined) {
      this.#reportAttempt(target.upstream, { outcome: "cancelled" });
      if (problem !== undefined) this.end({ kind: "failed", problem });
      return;
    }
    this.#target = target;
    this.#phase = "dispatched";
    this.#handleResult(target, await this.#createDispatch(target).run());
  }

  #handleResult(
    target: DispatchTarget,
    result: Result<DispatchSummary, UpstreamError>,
  ): void {
    if (result.isOk()) {
      const { status, outputTokens, cachedTokens } = result.value;
      const outcome = status >= 500 ? "upstream-error" : "whole";
      this.#reportAttempt(target.upstream, {
        outcome,
        outputTokens,
        cachedTokens,
      });
      this.#metrics.recordResponse(result.value);
      this.end({ kind: "whole" });
      return;
    }
    this.#reportAttempt(target.upstream, {
      outcome: attemptOutcomeOf(result.error, {
        isPastDeadline: this.#isPastDeadline,
      }),
    });
    if (result.error.kind === "refused") this.#onConnectionRefused(target);
    else this.end({ kind: "failed", problem: problemOfError(result.error) });
  }

  /**
   * Requests placement again, or reconnects if the upstream is pinned. This is
   * safe since no byte was sent.
   */
  #onConnectionRefused(target: DispatchTarget): void {
    this.#services.metrics.count("safeguard.connection_refused");
    this.#hooks.onConnectionRefused?.();
    this.#refusedConnections++;
    if (this.#phase === "ended") return;
    if (this.#hooks.isUpstreamPinned) {
      this.#scheduleReconnect(target);
      return;
    }
    this.#target = undefined;
    this.#phase = "waiting";
    if (this.#refusedConnections < MAX_REFUSED_CONNECTIONS) {
      this.#requestPlacement();
      return;
    }
    this.end({
      kind: "failed",
      problem: problemOf("no-upstream", { retryAfter: RETRY_AFTER_MS }),
    });
  }

  /**
   * Retries the same upstream after a delay; no byte was sent, so the request
   * is not dispatched twice.
   */
  #scheduleReconnect(target: DispatchTarget): void {
    if (this.#refusedConnections >= MAX_RECONNECTS) {
      this.end({ kind: "failed", problem: problemOf("no-upstream") });
      return;
    }
    this.#target = undefined;
    this.#phase = "waiting";
    this.#services.timer.after(RECONNECT_DELAY_MS, () => {
      if (this.phase === "ended") return;
      this.#target = target;
      this.#phase = "dispatched";
      void this.#createDispatch(target).run()
        .then((result) => this.#handleResult(target, result));
    });
  }

  #abortDispatch(): void {
    const target = this.#target;
    this.#abortController.abort();
    if (target === undefined || this.request.service.kind !== "model") return;
    void this.#services.client.cancel(target.url, target.nonce);
  }

  #reportAttempt(
    upstream: UpstreamId,
    { outcome, outputTokens = 0, cachedTokens }: {
      outcome: AttemptOutcome;
      outputTokens?: number;
      cachedTokens?: number | undefined;
    },
  ): void {
    this.#services.pools.finish(this.request.service.service, {
      request: this.request.requestId,
      upstream,
      outcome,
      outputTokens,
      ...(cachedTokens === undefined ? {} : { cachedTokens }),
    });
  }

  #createDispatch(target: DispatchTarget): Dispatch {
    const { client, timer, metrics, pools } = this.#services;
    const DispatchClass = this.request.service.kind === "model"
      ? ModelDispatch
      : PlainDispatch;
    return new DispatchClass({
      client,
      timer,
      request: this.request,
      target,
      response: this.response,
      signal: this.#abortController.signal,
      onFirstToken: () => {
        this.#metrics.recordFirstToken();
        pools.recordFirstToken(
          this.request.service.service,
          this.request.requestId,
        );
      },
      onToken: () => this.#metrics.recordToken(),
      onSafeguard: (name) => metrics.count(`safeguard.${name}`),
    });
  }

  #createTarget(upstream: UpstreamId): DispatchTarget | undefined {
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
