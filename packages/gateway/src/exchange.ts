import type { Buffer } from "node:buffer";
import type {
  HostId,
  Milliseconds,
  Tier,
  TimerSubscription,
} from "@wasabivane/common";
import {
  computeRetryDelay,
  type PlacementDecision,
  type QueueEstimate,
  type SoftwareVersion,
  type Upstream,
} from "@wasabivane/admission";
import { afterFreshPoll } from "./afterFreshPoll.ts";
import {
  Attempt,
  type AttemptEnd,
  type AttemptListener,
  type ResponseHead,
} from "./attempt.ts";
import {
  type BufferedRequest,
  createPlacementRequest,
  planAttempt,
  promptTokensOf,
} from "./attemptPlan.ts";
import type { CallerResponse } from "./callerResponse.ts";
import type { LogEvent, LogValues } from "./decisionLog.ts";
import { isNotRunStatus } from "./notRunStatus.ts";
import { isQuarantined, quarantineOf } from "./quarantine.ts";
import { recordAttempt } from "./recordAttempt.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import {
  accountName,
  type AdmittedRequest,
  type Refusal,
} from "./requestAdmission.ts";
import { STOPPING_REFUSAL, type WindowListener } from "./servingWindow.ts";
import { isResumable, originIdOf } from "./streamTakeUp.ts";
import { hasPossiblyRun, isNotRun, RetryState } from "./retryState.ts";
import { RequestTimings } from "./requestTimings.ts";

/** Mean retry delay given to callers whose request did not run. */
const NOT_RUN_RETRY_MS: Milliseconds = 250;

type AssignedSlot = Extract<PlacementDecision, { kind: "place" }>;

/** Options of an {@link Exchange}. */
export interface ExchangeOptions {
  readonly context: GatewayContext;
  readonly admitted: AdmittedRequest;
  readonly request: BufferedRequest;
  readonly response: CallerResponse;
  /**
   * Called once at the end; `hasRun` is false only if the request certainly did
   * not run.
   */
  readonly onEnd: (ending: { hasRun: boolean }) => void;
}

/**
 * Handles one admitted request: waits for a slot, sends it, retries where
 * allowed, and forwards the response, refuses the request or cuts the response.
 * A request counts as not run only if nothing was sent or every upstream that
 * received it reported so.
 */
export class Exchange implements AttemptListener, WindowListener {
  readonly #options: ExchangeOptions;
  readonly #retryState: RetryState;
  readonly #timings: RequestTimings;
  #deadlineTimer: TimerSubscription | undefined;
  #windowWatch: TimerSubscription | undefined;
  #attempt: Attempt | undefined;
  #lastEventId: number | undefined;
  /** Version that began the stream; `undefined` before its first event. */
  #softwareVersion: SoftwareVersion | undefined;
  /** Upstream that is processing the prompt. */
  #prefillUpstream: Upstream | undefined;
  /** Set when this host ended the attempt, whose outcome is then ignored. */
  #isAborted = false;
  #isFinished = false;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.#retryState = new RetryState(options);
    this.#timings = new RequestTimings({
      arrivedAt: options.admitted.arrivedAt,
      queuedAt: options.context.timer.now(),
    });
    this.#lastEventId = options.admitted.metadata.lastEventId;
    this.#softwareVersion = options.admitted.softwareVersion;
  }

  start(): void {
    const { context, admitted } = this.#options;
    const span = admitted.deadline - context.timer.now();
    this.#deadlineTimer = context.timer.after(
      Math.max(0, span),
      () => this.#onDeadline(),
    );
    this.#windowWatch = context.servingWindow.watch(admitted, this);
    this.#requestSlot();
  }

  /** Refuses a request that waits; one that was sent may go on until the end. */
  onLatestStart(): void {
    if (this.#isFinished || this.#attempt !== undefined) return;
    if (!this.#hasTime()) this.#endForStop();
  }

  /** Responds as long as the process can; a response that has started is cut. */
  onProcessEnd(): void {
    if (this.#isFinished || this.#options.response.hasStarted) return;
    this.#endForStop();
  }

  /**
   * Handles a connection closed by the caller: ends all work for the request.
   */
  handleCallerClose(): void {
    if (this.#isFinished) return;
    this.#log("caller_left", {
      sends: this.#retryState.count,
      lastEvent: this.#lastEventId,
      ...this.#timings.logValues(this.#now()),
    });
    this.#abortWork("caller left");
    this.#finish("caller-left");
  }

  onStreamStart({ status, headers }: ResponseHead): void {
    this.#endPrefill();
    if (this.#isFinished) return;
    this.#recordOrigin();
    this.#timings.recordFirstByte(this.#now());
    if (!this.#options.response.hasStarted) {
      this.#options.response.sendHead(status, headers);
    }
  }

  /** Other hosts must know before the caller can take the stream up there. */
  #recordOrigin(): void {
    const { context, admitted } = this.#options;
    this.#softwareVersion ??= this.#attempt?.upstream.softwareVersion;
    const softwareVersion = this.#softwareVersion;
    if (softwareVersion === undefined || !isResumable(admitted)) return;
    const { service } = admitted;
    context.streamOrigins.begin(originIdOf(admitted), {
      service,
      softwareVersion,
    });
  }

  onEvents(bytes: Buffer, lastEventId: number | undefined): void {
    if (this.#isFinished) return;
    const { response, admitted, context } = this.#options;
    const now = this.#now();
    this.#timings.recordEvents(now);
    const upstream = this.#attempt?.upstream.upstream;
    if (upstream !== undefined) {
      context.upstreamActivity.recordEvent(
        upstream,
        admitted.metadata.requestId,
        now,
      );
    }
    if (lastEventId !== undefined) this.#lastEventId = lastEventId;
    if (response.write(bytes)) return;
    const attempt = this.#attempt;
    attempt?.pause();
    response.onDrain(() => attempt?.resume());
  }

  onEnd(end: AttemptEnd): void {
    const attempt = this.#attempt!;
    this.#attempt = undefined;
    // Before all that may throw, as a later refusal says whether it may have run.
    if (hasPossiblyRun(end)) this.#retryState.markMayHaveRun();
    const { context, admitted, request } = this.#options;
    context.errors.guard("prefill end", () => this.#endPrefill());
    context.errors.guard("attempt record", () =>
      recordAttempt(attempt, {
        end,
        context,
        admitted,
        traits: request.traits,
      }));
    if (this.#isFinished || this.#isAborted) return;
    if (end.outcome === "cancelled") return this.#onDeadline();
    if (end.outcome === "whole") this.#deliver(end);
    else this.#retryOrFail(attempt, end);
  }

  /** A stream that has started goes on until the process ends. */
  #hasTime(): boolean {
    const { context, admitted, response } = this.#options;
    return response.hasStarted || context.servingWindow.hasTimeFor(admitted);
  }

  #endForStop(): void {
    const status = this.#attempt === undefined ? 502 : 504;
    this.#abortWork("stopping");
    this.#refuse(
      this.#retryState.mayHaveRun
        ? { status, reason: "stopping" }
        : STOPPING_REFUSAL,
    );
  }

  #requestSlot(): void {
    if (!this.#hasTime()) return this.#endForStop();
    const { context, admitted } = this.#options;
    const placementRequest = createPlacementRequest(admitted, {
      failureDomain: context.failureDomain,
      excluded: this.#retryState.excluded,
      softwareVersion: this.#softwareVersion,
      isContinuation: this.#retryState.mayHaveRun,
    });
    context.placementClient.submit(
      placementRequest,
      (decision) => this.#onDecision(decision),
      this.#now(),
    );
  }

  #onDecision(decision: PlacementDecision): void {
    if (this.#isFinished) return;
    // The deadline's timer may be late on a busy host.
    if (this.#now() >= this.#options.admitted.deadline) {
      return this.#onDeadline();
    }
    if (decision.kind === "place") {
      return this.#sendUnlessLeft(decision);
    }
    const { estimate, reason, by } = decision;
    if (this.#options.response.hasStarted) {
      return this.#cut(reason, { excluded: this.#retryState.excluded.size });
    }
    if (by !== undefined) {
      this.#options.context.metrics.count("refused_by_share");
    }
    this.#refuse(
      this.#retryState.mayHaveRun
        ? { status: 502, reason: "upstream-lost" }
        : this.#createRetryRefusal(reason, estimate),
      {
        ahead: estimate.ahead,
        startsPerSecond: estimate.startsPerSecond === undefined
          ? undefined
          : Math.round(estimate.startsPerSecond * 10) / 10,
        expectedWait: Math.round(estimate.wait),
        service: this.#options.admitted.service,
        tier: this.#tier,
        target: this.#options.admitted.route.target,
        by,
      },
    );
  }

  /**
   * Looks for the caller's close first, so that no upstream works for a caller
   * that left while this host was behind.
   */
  #sendUnlessLeft(slot: AssignedSlot): void {
    afterFreshPoll(this.#options.context.timer, () => {
      if (this.#isFinished) return;
      if (this.#now() >= this.#options.admitted.deadline) {
        return this.#onDeadline();
      }
      if (!this.#hasTime()) return this.#endForStop();
      this.#send(slot);
    });
  }

  #send(
    { upstream, coordinator, inFlight, pendingPrefillTokens }: AssignedSlot,
  ): void {
    const { context, admitted, request } = this.#options;
    const now = this.#now();
    if (this.#retryState.count === 0) this.#timings.recordStart(now);
    this.#retryState.recordSend(now);
    this.#attempt = new Attempt(planAttempt({
      context,
      admitted,
      request,
      upstream,
      pendingPrefillTokens,
      now,
      lastEventId: this.#lastEventId,
      canRetry: this.#retryState.canRetry(this.#options.response.hasStarted),
      hasAlternative: () =>
        this.#retryState.hasAlternative(
          upstream.upstream,
          this.#softwareVersion,
        ),
      hasTime: () => this.#hasTime(),
      listener: this,
    }));
    this.#beginPrefill(upstream);
    const { warmup } = context.upstreamStats;
    const isWarmingUp = warmup.isWarmingUp(upstream.upstream, now);
    if (isWarmingUp) this.#countWarmupStart(coordinator);
    this.#log(
      this.#retryState.count === 1 ? "request_sent" : "request_sent_again",
      {
        upstream: upstream.upstream,
        version: upstream.softwareVersion || undefined,
        lastEvent: this.#lastEventId,
        resumes: admitted.metadata.resumes,
        waited: Math.round(this.#timings.waited),
        promptTokens: admitted.metadata.tokens?.prompt,
        outputTokens: admitted.metadata.tokens?.output,
        service: admitted.service,
        tier: this.#tier,
        target: admitted.route.target,
        pauseTarget: admitted.route.pauseTarget,
        sends: this.#retryState.count,
        inFlight,
        slots: upstream.slots,
        keeper: coordinator,
        cold: isWarmingUp || undefined,
      },
    );
    this.#attempt.start();
  }

  /** Counts a start at an upstream that is warming up, by who decided it. */
  #countWarmupStart(coordinator: HostId | undefined): void {
    const name = coordinator === undefined
      ? "warmup_starts_alone"
      : "warmup_starts";
    this.#options.context.metrics.count(name);
  }

  #beginPrefill(upstream: Upstream): void {
    const { context, admitted } = this.#options;
    this.#prefillUpstream = upstream;
    context.placementClient.begin(upstream.upstream, promptTokensOf(admitted));
  }

  /** The prompt is processed, or will not be. */
  #endPrefill(): void {
    if (this.#prefillUpstream === undefined) return;
    const { context, admitted } = this.#options;
    const upstream = this.#prefillUpstream;
    this.#prefillUpstream = undefined;
    const tokens = promptTokensOf(admitted);
    context.placementClient.endPrefill(upstream, tokens, this.#now());
  }

  /** Forwards the complete response, or ends the stream. */
  #deliver(end: AttemptEnd): void {
    const { response } = end;
    const { context, admitted, response: caller } = this.#options;
    this.#timings.recordFirstByte(this.#now());
    if (response === undefined) {
      caller.finish();
      context.streamOrigins.complete(originIdOf(admitted));
    } else if (caller.hasStarted) caller.cut();
    else caller.sendComplete(response.status, response.headers, response.body);
    this.#finish(
      response === undefined ? "whole" : `status-${response.status}`,
      describeFraming(end),
    );
  }

  /**
   * Retries after a failed attempt where that is allowed, or reports the
   * failure.
   */
  #retryOrFail(attempt: Attempt, end: AttemptEnd): void {
    const { context, request, response } = this.#options;
    const { outcome, detail, wasSent } = end;
    const { upstream } = attempt.upstream;
    const shouldRetry = this.#retryState.takeRetry(upstream, {
      end,
      hasStarted: response.hasStarted,
      isQuarantined: this.#isQuarantined(),
    });
    if (!shouldRetry) return this.#fail(end, upstream);
    if (wasSent) {
      this.#log("request_failed", {
        upstream,
        outcome,
        detail,
        next: "again",
        ...describeFraming(end),
      });
    }
    const { crashes, crashChecks } = context;
    if (!crashes.isSuspect(request.traits.fingerprint, this.#now())) {
      return this.#requestSlot();
    }
    // The failed attempt may have been the crash that ends all retries.
    crashChecks.whenSettled(upstream, () => {
      if (this.#isFinished) return;
      if (this.#isQuarantined()) this.#fail(end, upstream);
      else this.#requestSlot();
    });
  }

  #isQuarantined(): boolean {
    const { context, request } = this.#options;
    return isQuarantined(request.traits, context);
  }

  #fail(end: AttemptEnd, upstream: Upstream["upstream"]): void {
    const { outcome, detail, response: upstreamResponse } = end;
    const { response } = this.#options;
    this.#log("request_failed", {
      upstream,
      outcome,
      detail,
      next: "give-up",
      ...describeFraming(end),
    });
    if (response.hasStarted) return this.#cut(outcome);
    if (
      upstreamResponse !== undefined &&
      !isNotRunStatus(upstreamResponse.status)
    ) {
      response.sendComplete(
        upstreamResponse.status,
        upstreamResponse.headers,
        upstreamResponse.body,
      );
      return this.#finish(`status-${upstreamResponse.status}`);
    }
    const { context, request } = this.#options;
    const quarantine = quarantineOf(request.traits, context);
    const reason = quarantine > 0 ? "convicted" : lossReason(end);
    if (this.#retryState.mayHaveRun) {
      return this.#refuse({ status: 502, reason });
    }
    const retryAfter = quarantine > 0 ? quarantine : this.#drawRetryDelay();
    this.#refuse({ status: 503, reason, retryAfter });
  }

  #onDeadline(): void {
    if (this.#isFinished) return;
    this.#abortWork("deadline");
    if (this.#options.response.hasStarted) return this.#cut("deadline");
    const status = this.#retryState.mayHaveRun ? 504 : 503;
    this.#refuse({ status, reason: "deadline" });
  }

  #createRetryRefusal(
    reason: Refusal["reason"],
    { wait }: QueueEstimate,
  ): Refusal {
    const { context, admitted } = this.#options;
    const timeLeft = admitted.deadline - this.#now();
    const retryAfter = computeRetryDelay(
      { wait, timeLeft },
      context.random,
    );
    return { status: 503, reason, retryAfter };
  }

  #drawRetryDelay(): Milliseconds {
    return NOT_RUN_RETRY_MS * (0.5 + this.#options.context.random.float());
  }

  #refuse(refusal: Refusal, inputs: LogValues = {}): void {
    this.#log("request_refused", {
      ...inputs,
      account: this.#options.admitted.account?.account,
      status: refusal.status,
      reason: refusal.reason,
      retryAfter: roundDuration(refusal.retryAfter),
      held: Math.round(this.#now() - this.#options.admitted.arrivedAt),
    });
    this.#options.response.refuse(refusal);
    this.#finish(refusal.reason);
  }

  #cut(detail: string, inputs: LogValues = {}): void {
    this.#log("request_cut", {
      detail,
      lastEvent: this.#lastEventId,
      sends: this.#retryState.count,
      ...inputs,
    });
    this.#options.response.cut();
    this.#finish("cut");
  }

  #abortWork(detail: string): void {
    const { context, admitted } = this.#options;
    const { requestId } = admitted.metadata;
    context.placementClient.withdraw(admitted.service, requestId, this.#now());
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    this.#isAborted = true;
    if (attempt.wasSent) this.#retryState.markMayHaveRun();
    attempt.abort("cancelled", detail);
  }

  #finish(ending: string, values: LogValues = {}): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#deadlineTimer?.cancel();
    this.#windowWatch?.cancel();
    const { context, admitted, onEnd } = this.#options;
    const now = this.#now();
    context.metrics.observe({
      account: accountName(admitted.account),
      tier: this.#tier,
      ending,
      waited: this.#timings.waited,
      firstByte: this.#timings.firstByte,
      total: this.#timings.total(now),
    });
    if (ending !== "caller-left") {
      this.#log("request_ended", {
        ending,
        ...values,
        ...this.#timings.logValues(now),
      });
    }
    onEnd({
      hasRun: this.#retryState.mayHaveRun ||
        this.#timings.firstByte !== undefined,
    });
  }

  #log(event: LogEvent, values: LogValues): void {
    const { context, admitted } = this.#options;
    context.log.write(event, {
      id: admitted.metadata.requestId,
      route: admitted.route.route,
      policy: admitted.policyVersion,
      ...values,
    });
  }

  get #tier(): Tier {
    const { account, route } = this.#options.admitted;
    return account?.tier ?? route.tier;
  }

  #now(): Milliseconds {
    return this.#options.context.timer.now();
  }
}

/** Describes the end of a response that ended only with its connection. */
function describeFraming({ framing, partialBytes }: AttemptEnd): LogValues {
  if (framing !== "connection") return {};
  return { unframed: true, partial: partialBytes };
}

function roundDuration(
  span: Milliseconds | undefined,
): Milliseconds | undefined {
  return span === undefined ? undefined : Math.round(span);
}

/** Maps the outcome of a failed attempt to the reason given to the caller. */
function lossReason(
  { outcome, wasSent }: AttemptEnd,
): Refusal["reason"] {
  if (!wasSent) return "unreachable-upstream";
  return isNotRun(outcome) ? "not-run-upstream" : "upstream-lost";
}
