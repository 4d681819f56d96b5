import type { Buffer } from "node:buffer";
import {
  MemoryBudget,
  type Milliseconds,
  type Timer,
  type TimerSubscription,
} from "@wasabivane/common";
import type { Upstream, UpstreamOutcome } from "@wasabivane/admission";
import type { Dialect, ResponseMetadata } from "./dialect.ts";
import {
  type CompleteEvents,
  EventStreamSplitter,
} from "./eventStreamSplitter.ts";
import type { HeaderValues } from "./headers.ts";
import { HeldParts } from "./heldParts.ts";
import { isNotRunStatus } from "./notRunStatus.ts";
import { framingOf, type ResponseFraming } from "./responseFraming.ts";
import { ResponseLease } from "./responseLease.ts";
import type {
  RunningCall,
  UpstreamCall,
  UpstreamConnections,
  UpstreamListener,
} from "./upstreamConnections.ts";

/**
 * Plain responses up to this size are buffered until complete; larger ones are
 * streamed.
 */
const MAXIMUM_BUFFERED_BYTES = 1_024 * 1_024;
/** Size above which an event is taken for one that does not end. */
const MAXIMUM_EVENT_BYTES = 5 * 1_024 * 1_024;
/** Size above which comments and blank lines are taken for a fault. */
const MAXIMUM_FILLER_BYTES = 128 * 1_024;
/**
 * Events before the first speed report; each further report needs twice as
 * many.
 */
const FIRST_REPORT_EVENTS = 4;
/**
 * Sent by another upstream that has taken over the address; it does not run the
 * request.
 */
const STATUS_MISDIRECTED = 421;

/** Status and headers of a response that may be forwarded. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderValues;
}

/** A limit that a response may exceed. */
export type ResponseLimit = "event-size" | "comment-size" | "memory";

const LIMIT_DETAILS: Readonly<Record<ResponseLimit, string>> = {
  "event-size": "event exceeds the size limit",
  "comment-size": "comments exceed the size limit",
  memory: "no memory for the response",
};

/** The outcome of an attempt. */
export interface AttemptEnd {
  readonly outcome: UpstreamOutcome;
  readonly detail: string;
  /** Whether any bytes of the request may have been sent. */
  readonly wasSent: boolean;
  /** `undefined` before the response's head. */
  readonly framing: ResponseFraming | undefined;
  /** Size of an incomplete event at the end of a stream. */
  readonly partialBytes: number;
  /** Whether this host had no memory for the response, which is no fault of it. */
  readonly isOutOfMemory?: boolean;
  /** The complete response, where it was buffered. */
  readonly response?: ResponseHead & { readonly body: Buffer };
}

/**
 * Timeouts for an upstream that sends nothing, given when the silence began;
 * `undefined` for no limit. They are evaluated again on expiry, since the
 * upstream's load may have changed.
 */
export interface SilenceTimeouts {
  /** Until the first event, or a complete plain response. */
  readonly firstEvent: (since: Milliseconds) => Milliseconds | undefined;
  /** Until the next event of a stream. */
  readonly nextEvent: (since: Milliseconds) => Milliseconds | undefined;
}

/** Receives the progress of an {@link Attempt}. */
export interface AttemptListener {
  /**
   * Called when the first complete event arrives, before it is passed to
   * `onEvents`.
   */
  onStreamStart(head: ResponseHead): void;
  /**
   * Called with the bytes of complete events and the last event's id, if it has
   * one.
   */
  onEvents(bytes: Buffer, lastEventId: number | undefined): void;
  onEnd(end: AttemptEnd): void;
}

/** Options of an {@link Attempt}. */
export interface AttemptOptions {
  readonly upstream: Upstream;
  readonly call: UpstreamCall;
  readonly connections: UpstreamConnections;
  readonly dialect: Dialect;
  readonly timer: Timer;
  /** Bounds what all responses hold; no limit by default. */
  readonly memory?: MemoryBudget;
  /** Called when the response is ended by a limit. */
  readonly onLimit?: (limit: ResponseLimit) => void;
  /** Time after which nothing is sent. */
  readonly deadline: Milliseconds;
  /** Whether the upstream may receive requests; checked before sending. */
  readonly isUsable: () => boolean;
  /**
   * Finds out whether the upstream's process has ended; asked at the end of a
   * success that nothing but the end of its connection shows to be complete.
   */
  readonly hasEnded: () => Promise<boolean>;
  /** Request id that the response must repeat. */
  readonly requestId: string;
  readonly isStreaming: boolean;
  /** Longest pause between events that meets the target; 0 for no target. */
  readonly pauseTarget: Milliseconds;
  /**
   * Tokens that the upstream processes before the first event, queued prompts
   * included.
   */
  readonly promptTokens: number;
  /** `undefined` to wait without limit. */
  readonly silenceTimeouts: SilenceTimeouts | undefined;
  /** Called with the head of the upstream's response to this request. */
  readonly onReport: (
    metadata: ResponseMetadata,
    headers: HeaderValues,
  ) => void;
  /**
   * Called from time to time with the mean interval between a stream's events.
   */
  readonly onEventInterval?: (interval: Milliseconds) => void;
  readonly listener: AttemptListener;
}

/**
 * Sends a request to one upstream and checks that the response belongs to it
 * and is complete.
 */
export class Attempt implements UpstreamListener {
  readonly startedAt: Milliseconds;
  readonly upstream: Upstream;
  firstEventAt: Milliseconds | undefined;
  eventCount = 0;
  /** Number of pauses between events that exceeded the target. */
  latePauses = 0;
  readonly #options: AttemptOptions;
  readonly #splitter = new EventStreamSplitter();
  readonly #buffered = new HeldParts();
  readonly #lease: ResponseLease;
  #head: ResponseHead | undefined;
  #framing: ResponseFraming | undefined;
  #wasSent = false;
  #isEnded = false;
  #hasStarted = false;
  /**
   * A plain response exceeded the buffer or the memory and is streamed; it can no longer be
   * retried.
   */
  #isStreamingBody = false;
  /** Time of the last event, or of the start before any. */
  #lastEventAt: Milliseconds;
  #silenceTimer: TimerSubscription | undefined;
  #speedReportAt = FIRST_REPORT_EVENTS;
  #call: RunningCall | undefined;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.#lease = new ResponseLease(options.memory ?? new MemoryBudget());
    this.upstream = options.upstream;
    this.startedAt = options.timer.now();
    this.#lastEventAt = this.startedAt;
  }

  /** See {@link AttemptOptions.promptTokens}. */
  get promptTokens(): number {
    return this.#options.promptTokens;
  }

  get wasSent(): boolean {
    return this.#wasSent;
  }

  start(): void {
    const { connections, call } = this.#options;
    this.#armSilenceTimer();
    this.#call = connections.send(call, this);
  }

  /** Ends the attempt and its upstream call. */
  abort(outcome: UpstreamOutcome, detail: string): void {
    this.#end({ outcome, detail });
  }

  pause(): void {
    this.#call?.pause();
  }

  resume(): void {
    this.#call?.resume();
  }

  /**
   * Checks deadline and upstream once more, as connecting may have taken long.
   */
  shouldSend(): boolean {
    if (this.#isEnded) return false;
    const { timer, deadline, isUsable } = this.#options;
    if (timer.now() >= deadline) {
      this.#end({
        outcome: "cancelled",
        detail: "deadline passed before send",
      });
    } else if (!isUsable()) {
      this.#end({ outcome: "unsent", detail: "upstream out of use" });
    }
    return !this.#isEnded;
  }

  sent(): void {
    this.#wasSent = true;
  }

  head(status: number, headers: HeaderValues): void {
    if (this.#isEnded) return;
    const metadata = this.#options.dialect.parseResponse(status, headers);
    if (status === STATUS_MISDIRECTED) {
      return this.#end({ outcome: "replaced", detail: `status ${status}` });
    }
    const flaw = this.#findFlaw(status, metadata);
    if (flaw !== undefined) {
      return this.#end({ outcome: "broken", detail: flaw });
    }
    this.#options.onReport(metadata, headers);
    if (metadata.hasNotRun) {
      return this.#end({ outcome: "not-run", detail: `status ${status}` });
    }
    this.#head = { status, headers };
    const { method } = this.#options.call;
    this.#framing = framingOf({ method, status, headers });
  }

  /**
   * Returns why a response is not the upstream's response to this request;
   * `undefined` if it is. A rejection may come without the request's id, since
   * the upstream may reject a request that it has not read.
   */
  #findFlaw(
    status: number,
    { requestId, hasNotRun, isSealed }: ResponseMetadata,
  ): string | undefined {
    const isUnnamed = hasNotRun && requestId === undefined;
    if (!isUnnamed && requestId !== this.#options.requestId) {
      return "response to another request";
    }
    const isAccepted = hasNotRun || isSealed || !isSuccess(status);
    return isAccepted ? undefined : "response without a seal";
  }

  data(chunk: Buffer): void {
    if (this.#isEnded || this.#head === undefined) return;
    if (this.#isEventStream()) this.#forwardEvents(chunk);
    else if (this.#isStreamingBody) {
      this.#options.listener.onEvents(chunk, undefined);
    } else this.#buffer(chunk);
  }

  ended(): void {
    if (this.#isEnded || this.#head === undefined) return;
    const endsWithConnection = this.#framing === "connection" &&
      isSuccess(this.#head.status);
    if (!endsWithConnection) return this.#complete();
    if (this.#isTruncated()) {
      const detail = "connection ended within the response";
      return this.#end({ outcome: "broken", detail });
    }
    this.#silenceTimer?.cancel();
    void this.#completeUnlessEnded();
  }

  failed(detail: string): void {
    this.#end({ outcome: this.#wasSent ? "broken" : "unreachable", detail });
  }

  #isEventStream(): boolean {
    return this.#options.isStreaming && isSuccess(this.#head!.status);
  }

  #forwardEvents(chunk: Buffer): void {
    const events = this.#splitter.push(chunk);
    if (events !== undefined) this.#forward(events);
    // The listener may have ended the attempt.
    if (this.#isEnded) return;
    const { remainderBytes, fillerBytes } = this.#splitter;
    if (remainderBytes > MAXIMUM_EVENT_BYTES) this.#exceed("event-size");
    else if (fillerBytes > MAXIMUM_FILLER_BYTES) this.#exceed("comment-size");
    else if (!this.#lease.hold(remainderBytes)) this.#exceed("memory");
  }

  #forward({ bytes, count, lastId }: CompleteEvents): void {
    this.#startStream();
    this.eventCount += count;
    this.#recordEvent();
    this.#reportSpeed();
    this.#options.listener.onEvents(bytes, lastId);
  }

  #exceed(limit: ResponseLimit): void {
    if (this.#isEnded) return;
    this.#options.onLimit?.(limit);
    this.#end({
      outcome: "broken",
      detail: LIMIT_DETAILS[limit],
      isOutOfMemory: limit === "memory",
    });
  }

  #recordEvent(): void {
    const now = this.#options.timer.now();
    const { pauseTarget } = this.#options;
    const isLate = pauseTarget > 0 && now - this.#lastEventAt > pauseTarget;
    if (isLate) this.latePauses++;
    this.#lastEventAt = now;
  }

  /**
   * Reports the speed while the stream runs, so that a slow upstream is noticed
   * early.
   */
  #reportSpeed(): void {
    if (this.eventCount < this.#speedReportAt) return;
    this.#speedReportAt = 2 * this.eventCount;
    const span = this.#lastEventAt - this.firstEventAt!;
    this.#options.onEventInterval?.(span / (this.eventCount - 1));
  }

  #startStream(): void {
    if (this.#hasStarted) return;
    this.#hasStarted = true;
    this.firstEventAt = this.#options.timer.now();
    this.#lastEventAt = this.firstEventAt;
    this.#armSilenceTimer();
    this.#options.listener.onStreamStart(this.#head!);
  }

  /**
   * Whether a response that ends only with its connection lacks its end: a part
   * of an event, or all of the body. One with a length or chunks says itself
   * that it is complete, so its last event may lack the blank line.
   */
  #isTruncated(): boolean {
    return this.#isEventStream()
      ? !this.#hasStarted || this.#splitter.remainderBytes > 0
      : !this.#isStreamingBody && this.#buffered.length === 0;
  }

  async #completeUnlessEnded(): Promise<void> {
    if (!await this.#options.hasEnded()) return this.#complete();
    this.#end({
      outcome: "broken",
      detail: "connection ended with the upstream",
    });
  }

  #complete(): void {
    if (this.#isEnded) return;
    if (this.#isEventStream() || this.#isStreamingBody) {
      return this.#completeStream();
    }
    const head = this.#head!;
    const body = this.#buffered.take();
    this.#end({
      outcome: isFailure(head.status) ? "failed" : "whole",
      detail: `status ${head.status}`,
      response: { ...head, body },
    });
  }

  #completeStream(): void {
    this.#startStream();
    const remainder = this.#splitter.takeRemainder();
    if (remainder.length > 0) {
      this.#options.listener.onEvents(remainder, undefined);
    }
    this.#end({ outcome: "whole", detail: "end of stream" });
  }

  #buffer(chunk: Buffer): void {
    this.#buffered.add(chunk);
    const bytes = this.#buffered.length;
    if (bytes > MAXIMUM_BUFFERED_BYTES) return this.#streamBody();
    if (this.#lease.hold(bytes)) return;
    if (isSuccess(this.#head!.status)) this.#streamBody();
    else this.#exceed("memory");
  }

  /** Passes on what is buffered, and further parts as they come. */
  #streamBody(): void {
    this.#isStreamingBody = true;
    this.#startStream();
    const bytes = this.#buffered.take();
    this.#lease.release();
    this.#options.listener.onEvents(bytes, undefined);
  }

  /** Rearms only on expiry, so that events of a stream need no timer each. */
  #armSilenceTimer(): void {
    this.#silenceTimer?.cancel();
    const { silenceTimeouts, timer } = this.#options;
    const timeout = this.#hasStarted
      ? silenceTimeouts?.nextEvent(this.#lastEventAt)
      : silenceTimeouts?.firstEvent(this.#lastEventAt);
    if (timeout === undefined) return;
    const remaining = this.#lastEventAt + timeout - timer.now();
    if (remaining <= 0) return this.#endOnSilence();
    this.#silenceTimer = timer.after(remaining, () => this.#armSilenceTimer());
  }

  #endOnSilence(): void {
    const span = Math.round(this.#options.timer.now() - this.#lastEventAt);
    this.#end({ outcome: "silent", detail: `no data for ${span} ms` });
  }

  #end(
    end: Pick<
      AttemptEnd,
      "outcome" | "detail" | "isOutOfMemory" | "response"
    >,
  ): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#silenceTimer?.cancel();
    this.#lease.release();
    const isCallFinished = end.response !== undefined ||
      end.outcome === "whole" ||
      end.outcome === "unreachable";
    if (!isCallFinished) this.#call?.abort();
    this.#options.listener.onEnd({
      ...end,
      wasSent: this.#wasSent,
      framing: this.#framing,
      partialBytes: this.#splitter.remainderBytes,
    });
  }
}

/**
 * Whether a response is not passed on as it is if the request may run elsewhere.
 * One without the mark of a rejection has run, whatever its status says.
 */
function isFailure(status: number): boolean {
  return status >= 500 || isNotRunStatus(status);
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
