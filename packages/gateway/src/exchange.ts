import type { Buffer } from "node:buffer";
import type { Milliseconds, Tier, TimerSubscription } from "@wasabivane/common";
import {
  computeRetryDelay,
  type PlacementDecision,
  type QueueEstimate,
  type Upstream,
  type UpstreamOutcome,
} from "@wasabivane/admission";
import {
  type AnswerHead,
  Attempt,
  type AttemptEnd,
  type AttemptListener,
} from "./attempt.ts";
import {
  planAttempt,
  promptTokensOf,
  type ReadRequest,
  wishOf,
} from "./attemptPlan.ts";
import type { CallerAnswer } from "./callerAnswer.ts";
import type { LogEvent, LogValues } from "./decisionLog.ts";
import { learnFrom } from "./attemptObservations.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import { accountName, type Admitted, type Refusal } from "./intake.ts";
import { isNotRun, RequestSends } from "./requestSends.ts";
import { RequestTimes } from "./requestTimes.ts";

/** A caller whose request has not run comes back after about this time. */
const NOT_RUN_RETURN_MS: Milliseconds = 250;
/** A host that is less behind than this sends at once. */
const LAG_BEFORE_LOOK_MS: Milliseconds = 20;

type Place = Extract<PlacementDecision, { kind: "place" }>;

/** What an {@link Exchange} is about. */
export interface ExchangeOptions {
  readonly parts: GatewayContext;
  readonly admitted: Admitted;
  readonly request: ReadRequest;
  readonly answer: CallerAnswer;
  /** Called once when the exchange is over; `hasRun` is false only where that is certain. */
  readonly done: (ending: { hasRun: boolean }) => void;
}

/**
 * One request from its admission to its end: waits for a place, is sent, sent
 * again where that is allowed, passed on, refused or cut. "Not run" is said only
 * when no byte left for an upstream or each that got it said so.
 */
export class Exchange implements AttemptListener {
  readonly #options: ExchangeOptions;
  readonly #sends: RequestSends;
  readonly #times: RequestTimes;
  #deadlineTimer: TimerSubscription | undefined;
  #attempt: Attempt | undefined;
  #lastEvent: number | undefined;
  /** Upstream that has yet to read the prompt. */
  #readingAt: Upstream | undefined;
  /** This side ended the work; what the attempt says of its end decides nothing. */
  #isStopped = false;
  #isOver = false;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.#sends = new RequestSends(options);
    this.#times = new RequestTimes({
      arrivedAt: options.admitted.arrivedAt,
      queuedAt: options.parts.timer.now(),
    });
    this.#lastEvent = options.admitted.says.lastEventId;
  }

  start(): void {
    const { parts, admitted } = this.#options;
    const span = admitted.deadline - parts.timer.now();
    this.#deadlineTimer = parts.timer.after(
      Math.max(0, span),
      () => this.#passDeadline(),
    );
    this.#seekPlace();
  }

  /** The caller closed its connection; work for it ends at once. */
  callerLeft(): void {
    if (this.#isOver) return;
    this.#log("caller_left", {
      sends: this.#sends.count,
      lastEvent: this.#lastEvent,
      ...this.#times.values(this.#now()),
    });
    this.#stopWork("caller left");
    this.#end("caller-left");
  }

  streamStarted({ status, fields }: AnswerHead): void {
    this.#endReading();
    if (this.#isOver) return;
    this.#times.noteFirstByte(this.#now());
    if (!this.#options.answer.hasStarted) {
      this.#options.answer.start(status, fields);
    }
  }

  events(bytes: Buffer, lastEvent: number | undefined): void {
    if (this.#isOver) return;
    const { answer, admitted, parts } = this.#options;
    const now = this.#now();
    this.#times.noteEvents(now);
    const upstream = this.#attempt?.upstream.upstream;
    if (upstream !== undefined) {
      parts.signs.recordEvent(upstream, admitted.says.requestId, now);
    }
    if (lastEvent !== undefined) this.#lastEvent = lastEvent;
    if (answer.write(bytes)) return;
    const attempt = this.#attempt;
    attempt?.pause();
    answer.onDrain(() => attempt?.resume());
  }

  ended(end: AttemptEnd): void {
    const attempt = this.#attempt!;
    this.#attempt = undefined;
    this.#endReading();
    const { parts, admitted, request } = this.#options;
    learnFrom(attempt, {
      end,
      parts,
      admitted,
      fingerprint: request.fingerprint,
    });
    if (this.#isOver || this.#isStopped) return;
    if (end.outcome === "cancelled") return this.#passDeadline();
    if (end.outcome === "whole") this.#deliver(end);
    else this.#recover(attempt, end);
  }

  #seekPlace(): void {
    const { parts, admitted } = this.#options;
    const wish = wishOf(admitted, {
      failureDomain: parts.failureDomain,
      excluded: this.#sends.excluded,
      isContinuation: this.#sends.mayHaveRun,
    });
    parts.places.submit(
      wish,
      (verdict) => this.#onVerdict(verdict),
      this.#now(),
    );
  }

  #onVerdict(verdict: PlacementDecision): void {
    if (this.#isOver) return;
    // On a busy host the timer of the deadline may run later than this.
    if (this.#now() >= this.#options.admitted.deadline) {
      return this.#passDeadline();
    }
    if (verdict.kind === "place") return this.#sendInTurn(verdict);
    const { estimate: outlook, reason } = verdict;
    if (this.#options.answer.hasStarted) {
      return this.#cut(reason, { excluded: this.#sends.excluded.size });
    }
    this.#refuse(
      this.#sends.mayHaveRun
        ? { status: 502, reason: "upstream-lost" }
        : this.#comeBack(reason, outlook),
      {
        ahead: outlook.ahead,
        startsPerSecond: outlook.startsPerSecond === undefined
          ? undefined
          : Math.round(outlook.startsPerSecond * 10) / 10,
        expectedWait: Math.round(outlook.wait),
        service: this.#options.admitted.service,
        tier: this.#tier,
        target: this.#options.admitted.route.target,
      },
    );
  }

  /**
   * A host that is behind has yet to read that some callers have left. It looks at what
   * has come in before it sends, so that no upstream works for nobody.
   */
  #sendInTurn(place: Place): void {
    const { parts: { timer, lag } } = this.#options;
    if (lag.sustained < LAG_BEFORE_LOOK_MS) return this.#send(place);
    timer.after(0, () =>
      timer.after(0, () => {
        if (this.#now() >= this.#options.admitted.deadline) {
          return this.#passDeadline();
        }
        if (!this.#isOver) this.#send(place);
      }));
  }

  #send(
    { upstream, inFlight, pendingPrefillTokens: unreadTokens }: Place,
  ): void {
    const { parts, admitted, request } = this.#options;
    const now = this.#now();
    if (this.#sends.count === 0) this.#times.notePlace(now);
    this.#sends.noteSend(now);
    this.#attempt = new Attempt(planAttempt({
      parts,
      admitted,
      request,
      upstream,
      unreadTokens,
      now,
      lastEvent: this.#lastEvent,
      canRepeat: this.#sends.mayFollow(this.#options.answer.hasStarted),
      hasOther: () => this.#sends.hasOther(upstream.upstream),
      listener: this,
    }));
    this.#beginReading(upstream);
    this.#log(this.#sends.count === 1 ? "request_sent" : "request_sent_again", {
      upstream: upstream.upstream,
      waited: Math.round(this.#times.waited),
      promptTokens: admitted.says.tokens?.prompt,
      outputTokens: admitted.says.tokens?.output,
      service: admitted.service,
      tier: this.#tier,
      target: admitted.route.target,
      pauseTarget: admitted.route.pauseTarget,
      sends: this.#sends.count,
      inFlight,
      slots: upstream.slots,
    });
    this.#attempt.start();
  }

  #beginReading(upstream: Upstream): void {
    const { parts, admitted } = this.#options;
    this.#readingAt = upstream;
    parts.places.begin(upstream.upstream, promptTokensOf(admitted));
  }

  /** The prompt is read, or will not be read any more. */
  #endReading(): void {
    if (this.#readingAt === undefined) return;
    const { parts, admitted } = this.#options;
    const upstream = this.#readingAt;
    this.#readingAt = undefined;
    const tokens = promptTokensOf(admitted);
    parts.places.endPrefill(upstream, tokens, this.#now());
  }

  /** Passes on the whole answer, or the end of the stream. */
  #deliver({ answer }: AttemptEnd): void {
    const caller = this.#options.answer;
    this.#times.noteFirstByte(this.#now());
    if (answer === undefined) caller.finish();
    else if (caller.hasStarted) caller.cut();
    else caller.whole(answer.status, answer.fields, answer.body);
    this.#end(answer === undefined ? "whole" : `status-${answer.status}`);
  }

  /** An attempt did not end whole: try again where that is allowed, or say how it ended. */
  #recover(attempt: Attempt, end: AttemptEnd): void {
    const { parts, request, answer } = this.#options;
    const { outcome, detail } = end;
    const { upstream } = attempt.upstream;
    const isAgain = this.#sends.takeNext(upstream, {
      outcome,
      hasStarted: answer.hasStarted,
      isConvicted: parts.crashes.isQuarantined(
        request.fingerprint,
        this.#now(),
      ),
    });
    if (!isAgain) return this.#giveUp(end, upstream);
    if (outcome !== "unreachable") {
      this.#log("request_failed", { upstream, outcome, detail, next: "again" });
    }
    this.#seekPlace();
  }

  #giveUp(
    { outcome, detail, answer: held }: AttemptEnd,
    upstream: Upstream["upstream"],
  ): void {
    const { answer } = this.#options;
    this.#log("request_failed", { upstream, outcome, detail, next: "give-up" });
    if (answer.hasStarted) return this.#cut(outcome);
    if (held !== undefined && isPassable(held.status)) {
      answer.whole(held.status, held.fields, held.body);
      return this.#end(`status-${held.status}`);
    }
    this.#refuse(
      this.#sends.mayHaveRun
        ? { status: 502, reason: lossOf(outcome) }
        : { status: 503, reason: lossOf(outcome), retryAfter: this.#soon() },
    );
  }

  #passDeadline(): void {
    if (this.#isOver) return;
    this.#stopWork("deadline");
    if (this.#options.answer.hasStarted) return this.#cut("deadline");
    const status = this.#sends.mayHaveRun ? 504 : 503;
    this.#refuse({ status, reason: "deadline" });
  }

  #comeBack(reason: Refusal["reason"], { wait }: QueueEstimate): Refusal {
    const { parts, admitted } = this.#options;
    const timeLeft = admitted.deadline - this.#now();
    const retryAfter = computeRetryDelay(
      { wait, timeLeft },
      parts.random,
    );
    return { status: 503, reason, retryAfter };
  }

  #soon(): Milliseconds {
    return NOT_RUN_RETURN_MS * (0.5 + this.#options.parts.random.float());
  }

  #refuse(refusal: Refusal, inputs: LogValues = {}): void {
    this.#log("request_refused", {
      ...inputs,
      status: refusal.status,
      reason: refusal.reason,
      retryAfter: wholeOf(refusal.retryAfter),
      held: Math.round(this.#now() - this.#options.admitted.arrivedAt),
    });
    this.#options.answer.refuse(refusal);
    this.#end(refusal.reason);
  }

  #cut(detail: string, inputs: LogValues = {}): void {
    this.#log("request_cut", {
      detail,
      lastEvent: this.#lastEvent,
      sends: this.#sends.count,
      ...inputs,
    });
    this.#options.answer.cut();
    this.#end("cut");
  }

  #stopWork(detail: string): void {
    const { parts, admitted } = this.#options;
    const { requestId: request } = admitted.says;
    parts.places.withdraw(admitted.service, request, this.#now());
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    this.#isStopped = true;
    if (attempt.wasSent) this.#sends.noteMayHaveRun();
    attempt.abort("cancelled", detail);
  }

  #end(ending: string): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#deadlineTimer?.cancel();
    const { parts, admitted, done } = this.#options;
    const now = this.#now();
    parts.metrics.observe({
      account: accountName(admitted.account),
      tier: this.#tier,
      ending,
      waited: this.#times.waited,
      firstByte: this.#times.firstByte,
      whole: this.#times.whole(now),
    });
    if (ending !== "caller-left") {
      this.#log("request_ended", { ending, ...this.#times.values(now) });
    }
    done({
      hasRun: this.#sends.mayHaveRun || this.#times.firstByte !== undefined,
    });
  }

  #log(event: LogEvent, values: LogValues): void {
    const { parts, admitted } = this.#options;
    parts.log.write(event, {
      id: admitted.says.requestId,
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
    return this.#options.parts.timer.now();
  }
}

function wholeOf(span: Milliseconds | undefined): Milliseconds | undefined {
  return span === undefined ? undefined : Math.round(span);
}

/** A "not run" of the upstream's own is ours to say; other failures are passed on. */
function isPassable(status: number): boolean {
  return status !== 408 && status !== 429 && status !== 503;
}

/** What is said of a request that its upstream did not answer whole. */
function lossOf(outcome: UpstreamOutcome): Refusal["reason"] {
  if (outcome === "unreachable") return "unreachable-upstream";
  return isNotRun(outcome) ? "not-run-upstream" : "upstream-lost";
}
