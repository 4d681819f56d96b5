import { Buffer } from "node:buffer";
import type {
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import type { Upstream, UpstreamOutcome } from "@wasabivane/admission";
import type { Dialect } from "./dialect.ts";
import { EventFrames } from "./eventFrames.ts";
import type { HeaderValues } from "./headers.ts";
import type {
  RunningCall,
  UpstreamCall,
  UpstreamConnections,
  UpstreamListener,
} from "./upstreamConnections.ts";

/** Answers are held back until they are whole, but not above this. */
const MAXIMUM_HELD_BYTES = 1_024 * 1_024;
/** A stream tells its pace after so many events, and each time that their number has doubled. */
const FIRST_PACE_EVENTS = 4;
/** Another upstream has the address; it never runs the request. */
const MISDIRECTED = 421;

/** Head of an answer that may be passed on. */
export interface AnswerHead {
  readonly status: number;
  readonly fields: HeaderValues;
}

/** How an attempt ended. */
export interface AttemptEnd {
  readonly outcome: UpstreamOutcome;
  readonly detail: string;
  /** Whether bytes of the request may have left. */
  readonly wasSent: boolean;
  /** A whole answer that was held back. */
  readonly answer?: AnswerHead & { readonly body: Buffer };
}

/**
 * Says how long a silence that began at `since` is borne; `undefined`: for as long
 * as it takes. It is asked at the beginning and again when that time is over, as an
 * upstream may have more to do by then.
 */
export interface SilencePatience {
  /** For the first event, or a whole plain answer. */
  readonly first: (since: Milliseconds) => Milliseconds | undefined;
  /** For the next event. */
  readonly pause: (since: Milliseconds) => Milliseconds | undefined;
}

/** Who is told of an attempt's steps. */
export interface AttemptListener {
  /** The first whole event of a stream arrived; it follows by `events`. */
  streamStarted(head: AnswerHead): void;
  /** Bytes of whole events, and the id of the last one where it has one. */
  events(bytes: Buffer, lastEvent: number | undefined): void;
  ended(end: AttemptEnd): void;
}

/** What an attempt is made of. */
export interface AttemptOptions {
  readonly upstream: Upstream;
  readonly call: UpstreamCall;
  readonly connections: UpstreamConnections;
  readonly dialect: Dialect;
  readonly timer: Timer;
  /** When the caller's time is over; nothing is sent any more. */
  readonly deadline: Milliseconds;
  /** The request's id, which the answer must repeat. */
  readonly attempt: string;
  readonly isStreaming: boolean;
  /** Longest pause between events that is on time; 0 where pauses do not count. */
  readonly pauseTarget: Milliseconds;
  /** Tokens that the upstream reads before the first event, those ahead included. */
  readonly promptTokens: number;
  /** How long it is borne that nothing comes; `undefined`: for as long as it takes. */
  readonly patience: SilencePatience | undefined;
  /** Told how many requests the upstream has, where its answer says so. */
  readonly onLoad: (requests: number) => void;
  /** Told of a running stream's mean time for an event, now and then. */
  readonly onPace?: (pace: Milliseconds) => void;
  readonly listener: AttemptListener;
}

/** One request at one upstream: checks that the answer belongs to it and is whole. */
export class Attempt implements UpstreamListener {
  readonly startedAt: Milliseconds;
  readonly upstream: Upstream;
  firstEventAt: Milliseconds | undefined;
  eventCount = 0;
  /** Pauses between events that were longer than the target. */
  latePauses = 0;
  readonly #options: AttemptOptions;
  readonly #frames = new EventFrames();
  readonly #held: Buffer[] = [];
  #heldBytes = 0;
  #head: AnswerHead | undefined;
  #wasSent = false;
  #isOver = false;
  #hasStarted = false;
  /** A large answer goes straight on; it can no longer be asked for again. */
  #isPassingOn = false;
  /** When anything of the answer came last, or the request was sent. */
  #heardAt: Milliseconds;
  #guard: TimerSubscription | undefined;
  #tellsPaceAt = FIRST_PACE_EVENTS;
  #call: RunningCall | undefined;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.upstream = options.upstream;
    this.startedAt = options.timer.now();
    this.#heardAt = this.startedAt;
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
    this.#watchSilence();
    this.#call = connections.send(call, this);
  }

  /** Ends the attempt from this side. */
  abort(outcome: UpstreamOutcome, detail: string): void {
    this.#end({ outcome, detail });
  }

  pause(): void {
    this.#call?.pause();
  }

  resume(): void {
    this.#call?.resume();
  }

  /** A connection may take long on a busy host; its caller may have no time left by then. */
  isWanted(): boolean {
    if (this.#isOver) return false;
    const { timer, deadline } = this.#options;
    if (timer.now() < deadline) return true;
    this.#end({ outcome: "cancelled", detail: "too late to send" });
    return false;
  }

  sent(): void {
    this.#wasSent = true;
  }

  head(status: number, fields: HeaderValues): void {
    if (this.#isOver) return;
    const says = this.#options.dialect.parseResponse(status, fields);
    if (says.load !== undefined) this.#options.onLoad(says.load);
    if (status === MISDIRECTED) {
      return this.#end({ outcome: "replaced", detail: `status ${status}` });
    }
    if (says.hasNotRun) {
      return this.#end({ outcome: "not-run", detail: `status ${status}` });
    }
    if (says.requestId !== this.#options.attempt) {
      return this.#end({ outcome: "broken", detail: "foreign answer" });
    }
    if (isSuccess(status) && !says.isSealed) {
      return this.#end({ outcome: "broken", detail: "answer without a mark" });
    }
    this.#head = { status, fields };
  }

  data(chunk: Buffer): void {
    if (this.#isOver || this.#head === undefined) return;
    if (this.#isEventStream()) this.#takeEvents(chunk);
    else if (this.#isPassingOn) this.#options.listener.events(chunk, undefined);
    else this.#hold(chunk);
  }

  ended(): void {
    if (this.#isOver || this.#head === undefined) return;
    if (this.#isEventStream() || this.#isPassingOn) return this.#endStream();
    const { status } = this.#head;
    const body = Buffer.concat(this.#held);
    const outcome = status >= 500 ? "failed" : "whole";
    this.#end({
      outcome,
      detail: `status ${status}`,
      answer: { ...this.#head, body },
    });
  }

  failed(detail: string): void {
    this.#end({ outcome: this.#wasSent ? "broken" : "unreachable", detail });
  }

  #isEventStream(): boolean {
    return this.#options.isStreaming && isSuccess(this.#head!.status);
  }

  #takeEvents(chunk: Buffer): void {
    const frames = this.#frames.push(chunk);
    if (frames.length === 0) return;
    this.#startStream();
    this.eventCount += frames.length;
    this.#noteEvent();
    this.#tellPace();
    const bytes = frames.length === 1
      ? frames[0]!.bytes
      : Buffer.concat(frames.map((frame) => frame.bytes));
    this.#options.listener.events(bytes, frames.at(-1)!.id);
  }

  #noteEvent(): void {
    const now = this.#options.timer.now();
    const { pauseTarget } = this.#options;
    const isLate = pauseTarget > 0 && now - this.#heardAt > pauseTarget;
    if (isLate) this.latePauses++;
    this.#heardAt = now;
  }

  /** An upstream that is slow shows so long before its first stream ends. */
  #tellPace(): void {
    if (this.eventCount < this.#tellsPaceAt) return;
    this.#tellsPaceAt = 2 * this.eventCount;
    const span = this.#heardAt - this.firstEventAt!;
    this.#options.onPace?.(span / (this.eventCount - 1));
  }

  #startStream(): void {
    if (this.#hasStarted) return;
    this.#hasStarted = true;
    this.firstEventAt = this.#options.timer.now();
    this.#heardAt = this.firstEventAt;
    this.#watchSilence();
    this.#options.listener.streamStarted(this.#head!);
  }

  /** A stream that ends inside an event is passed on to its last byte. */
  #endStream(): void {
    this.#startStream();
    const { rest } = this.#frames;
    if (rest.length > 0) this.#options.listener.events(rest, undefined);
    this.#end({ outcome: "whole", detail: "end of stream" });
  }

  #hold(chunk: Buffer): void {
    this.#held.push(Buffer.from(chunk));
    this.#heldBytes += chunk.length;
    if (this.#heldBytes <= MAXIMUM_HELD_BYTES) return;
    this.#isPassingOn = true;
    this.#startStream();
    this.#options.listener.events(Buffer.concat(this.#held), undefined);
  }

  /**
   * Looks again when the silence since the last event would be too long. Events only
   * note their time, so that a stream costs no timer for each of them.
   */
  #watchSilence(): void {
    this.#guard?.cancel();
    const { patience, timer } = this.#options;
    const borne = this.#hasStarted
      ? patience?.pause(this.#heardAt)
      : patience?.first(this.#heardAt);
    if (borne === undefined) return;
    const left = this.#heardAt + borne - timer.now();
    if (left <= 0) return this.#endSilent();
    this.#guard = timer.after(left, () => this.#watchSilence());
  }

  #endSilent(): void {
    const span = Math.round(this.#options.timer.now() - this.#heardAt);
    this.#end({ outcome: "silent", detail: `nothing for ${span} ms` });
  }

  #end(end: Omit<AttemptEnd, "wasSent">): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#guard?.cancel();
    const isOwnEnd = end.answer !== undefined || end.outcome === "whole" ||
      end.outcome === "unreachable";
    if (!isOwnEnd) this.#call?.abort();
    this.#options.listener.ended({ ...end, wasSent: this.#wasSent });
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
