import type {
  HostId,
  Incarnation,
  Milliseconds,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import type {
  CellReply,
  CellUpdate,
  NumberedDecision,
} from "./cellMessages.ts";
import type { AttemptObservation } from "./upstreamStats.ts";

/** An answer takes a few milliseconds; a datagram that was lost is sent again then, */
const REPEAT_MS: Milliseconds = 30;
/** or after so many times what answers took lately: repeats make a slow keeper slower. */
const REPEAT_FACTOR = 2;
/**
 * A keeper that has not answered for so long is dead or cut off. Small machines pause
 * for most of a tenth of a second when their share is used up; the shortest targets are
 * a seventh of a second.
 */
const SILENCE_MS: Milliseconds = 100;
/**
 * One that was slow already is waited for so many times what its answers took: in a
 * burst all keepers are slow, and the next one knows nothing of the places besides.
 */
const SILENCE_FACTOR = 4;
const LONGEST_SILENCE_MS: Milliseconds = 400;
/** Weight of a faster answer in what answers take; a slower one counts half at once. */
const FASTER_WEIGHT = 0.1;
const SLOWER_WEIGHT = 0.5;
/** Weight of an answer in the mean that is told to the keeper. */
const MEAN_WEIGHT = 0.2;
/**
 * Work is confirmed and all that waits is listed so often. Keepers repeat what a host
 * has not seen, so that a list finds only what a keeper has lost altogether; they forget
 * a host after one and a half seconds.
 */
const CONFIRM_MS: Milliseconds = 500;
/** An ask that goes out anyway lists what waits if the last list is older than this. */
const LIST_WITH_ASK_MS: Milliseconds = 250;
/**
 * What ended is told at once and needs no answer; one is asked for when so much time has
 * gone by without any, as the telling may be lost and the place would look taken.
 */
const CONFIRM_END_MS: Milliseconds = 200;
/** A cell that this host has no business with is forgotten. */
const IDLE_MS: Milliseconds = 2_000;
/** Observations that are kept for a keeper that does not answer. */
const MAXIMUM_LESSONS = 16;

/** Why a keeper is passed over. */
export type FailoverReason = "silent" | "leaving";

/** What a host has to do about a cell now. */
export type SessionAction = "nothing" | "ask" | "tell" | "passed-over" | "over";

/** What a {@link CellSession} adds to an ask. */
export interface UpdatePart extends
  Omit<
    CellUpdate,
    "host" | "incarnation" | "inFlight" | "requests"
  > {
  /** Requests that have to be described. */
  readonly described: readonly RequestId[];
}

interface UnansweredAsk {
  readonly sequence: number;
  readonly sentAt: Milliseconds;
}

/** One host's conversation with whoever keeps a cell. */
export class CellSession {
  readonly cell: Cell;
  readonly key: CellKey;
  #keeper: HostId | undefined;
  #keeperIncarnation: Incarnation | undefined;
  #sequence = 0;
  #verdictsSeen = 0;
  #observations: AttemptObservation[] = [];
  /** When the oldest observation that the keeper has not confirmed was told; `Infinity` without any. */
  #unconfirmedSince: Milliseconds = Infinity;
  #observationsFrom = 1;
  readonly #reports = new Map<UpstreamId, number>();
  /** Requests that wait here: the ask that first described each to this keeper. */
  readonly #described = new Map<RequestId, number>();
  /** Requests that wait here no more: the ask that first said so. */
  readonly #withdrawn = new Map<RequestId, number>();
  /** The last ask that the keeper has answered. */
  #answered = 0;
  #isListing = false;
  /** Asks that want an answer and have none, the oldest first. */
  #unanswered: UnansweredAsk[] = [];
  #sentAt: Milliseconds = -Infinity;
  /** Something is to be told by then that is not worth a word of its own. */
  #tellBy: Milliseconds = Infinity;
  #listedAt: Milliseconds = -Infinity;
  #silentKeepers = 0;
  /** What answers took lately, slow ones counting most. */
  #answerTime: Milliseconds = 0;
  #meanAnswerTime: Milliseconds = 0;

  constructor(cell: Cell) {
    this.cell = cell;
    this.key = cellKeyOf(cell);
  }

  get coordinator(): HostId | undefined {
    return this.#keeper;
  }

  get isAwaitingReply(): boolean {
    return this.#unanswered.length > 0;
  }

  /** Keepers that did not answer, one after the other. */
  get silentCoordinators(): number {
    return this.#silentKeepers;
  }

  /** Requests that wait in this cell. */
  get waiting(): Iterable<RequestId> {
    return this.#described.keys();
  }

  get hasWaiting(): boolean {
    return this.#described.size > 0;
  }

  /** A request begins to wait here. */
  add(request: RequestId): void {
    this.#withdrawn.delete(request);
    this.#described.set(request, Infinity);
  }

  /** A request waits here no more; the keeper is told unless it decided so itself. */
  remove(
    request: RequestId,
    { isTold = true }: { isTold?: boolean } = {},
  ): void {
    if (!this.#described.delete(request)) return;
    if (isTold) this.#withdrawn.set(request, Infinity);
  }

  /** An upstream of the cell said how many requests it has. */
  setUpstreamReport(upstream: UpstreamId, requests: number): void {
    this.#reports.set(upstream, requests);
  }

  /** An attempt in this cell ended. */
  addObservation(observation: AttemptObservation, now: Milliseconds): void {
    this.#observations.push(observation);
    this.#unconfirmedSince = Math.min(this.#unconfirmedSince, now);
    if (this.#observations.length <= MAXIMUM_LESSONS) return;
    this.#observations.shift();
    this.#observationsFrom++;
  }

  /** The next ask lists all that waits: the keeper may have lost it. */
  scheduleListing(): void {
    this.#isListing = true;
  }

  /** There is something to tell, with the next ask or by then. */
  sendBy(at: Milliseconds): void {
    this.#tellBy = Math.min(this.#tellBy, at);
  }

  /** When something is to be told or listed at the latest; `Infinity` if nothing is. */
  get sendAt(): Milliseconds {
    const listAt = this.hasWaiting ? this.#listedAt + CONFIRM_MS : Infinity;
    const confirmAt = this.#unconfirmedSince + CONFIRM_END_MS;
    return Math.min(this.#tellBy, listAt, confirmAt);
  }

  /** The next ask, but for what the host knows itself. */
  createUpdate(
    { keeper, wantsAnswer, now }: {
      keeper: HostId;
      wantsAnswer: boolean;
      now: Milliseconds;
    },
  ): UpdatePart {
    if (keeper !== this.#keeper) this.#turnTo(keeper);
    const sequence = ++this.#sequence;
    if (wantsAnswer) this.#unanswered.push({ sequence, sentAt: now });
    this.#sentAt = now;
    this.#tellBy = Infinity;
    const isListing = this.#isListing ||
      (this.hasWaiting && now - this.#listedAt >= LIST_WITH_ASK_MS);
    if (isListing) this.#listedAt = now;
    const reports = [...this.#reports];
    this.#reports.clear();
    this.#isListing = false;
    return {
      cell: this.cell,
      sequence,
      described: this.#untold(this.#described, sequence),
      withdrawn: this.#untold(this.#withdrawn, sequence),
      ...isListing && { waiting: [...this.#described.keys()] },
      reports,
      observations: [...this.#observations],
      firstObservation: this.#observationsFrom,
      decisionsSeen: this.#verdictsSeen,
      wantsReply: wantsAnswer,
      replyTime: this.#meanAnswerTime,
    };
  }

  /** Takes in an answer; gives back the verdicts that are new, or `undefined` for one that is not the keeper's. */
  receive(
    answer: CellReply,
    now: Milliseconds,
  ): NumberedDecision[] | undefined {
    if (answer.host !== this.#keeper) return undefined;
    this.#noteTime(answer.sequence, now);
    if (answer.incarnation !== this.#keeperIncarnation) {
      this.#keeperIncarnation = answer.incarnation;
      this.#verdictsSeen = 0;
      this.#describeAnew();
    }
    this.#silentKeepers = 0;
    this.#answered = Math.max(this.#answered, answer.sequence);
    for (const [request, sequence] of this.#withdrawn) {
      if (sequence <= this.#answered) this.#withdrawn.delete(request);
    }
    for (const request of answer.unknownRequests) {
      if (this.#described.has(request)) this.#described.set(request, Infinity);
    }
    this.#unanswered = this.#unanswered.filter(({ sequence }) =>
      sequence > answer.sequence
    );
    const known = answer.observationsSeen - this.#observationsFrom + 1;
    if (known > 0) {
      this.#observations.splice(0, known);
      this.#observationsFrom = answer.observationsSeen + 1;
    }
    this.#unconfirmedSince = this.#observations.length > 0 ? now : Infinity;
    const fresh = answer.decisions.filter(({ number }) =>
      number > this.#verdictsSeen
    );
    this.#verdictsSeen = Math.max(
      this.#verdictsSeen,
      ...fresh.map(({ number }) => number),
    );
    return fresh;
  }

  /** What is due, by what this host has to do with the cell. */
  nextAction(
    { hasWork, now }: { hasWork: boolean; now: Milliseconds },
  ): SessionAction {
    const sinceSent = now - this.#sentAt;
    const told = now >= this.#tellBy ? "tell" : "nothing";
    const [oldest] = this.#unanswered;
    if (oldest !== undefined) {
      const silence = SILENCE_FACTOR * this.#answerTime;
      const longest = Math.min(LONGEST_SILENCE_MS, silence);
      if (now - oldest.sentAt >= Math.max(SILENCE_MS, longest)) {
        return "passed-over";
      }
      const repeat = Math.max(REPEAT_MS, REPEAT_FACTOR * this.#answerTime);
      return sinceSent >= repeat ? "ask" : told;
    }
    if (this.hasWaiting && now - this.#listedAt >= CONFIRM_MS) {
      this.#isListing = true;
      return "ask";
    }
    if (now - this.#unconfirmedSince >= CONFIRM_END_MS) return "ask";
    if (hasWork && sinceSent >= CONFIRM_MS) return "ask";
    const isBusy = hasWork || this.hasWaiting;
    return !isBusy && sinceSent >= IDLE_MS ? "over" : told;
  }

  /**
   * This host itself stood still for so long. Answers that came meanwhile are still to be
   * read; its own pause is not the keeper's silence.
   */
  extendTimeouts(pause: Milliseconds, now: Milliseconds): void {
    this.#unanswered = this.#unanswered.map(({ sequence, sentAt }) => ({
      sequence,
      sentAt: Math.min(now, sentAt + pause),
    }));
  }

  /** The keeper does not answer, or stops. */
  recordFailover(kind: FailoverReason): void {
    if (kind === "silent") this.#silentKeepers++;
    this.#unanswered = [];
  }

  /** Nobody answers; the next ask begins anew. */
  reset(): void {
    this.#silentKeepers = 0;
    this.#unanswered = [];
  }

  /** The oldest ask that an answer speaks of tells what answers take. */
  #noteTime(sequence: number, now: Milliseconds): void {
    const [oldest] = this.#unanswered;
    if (oldest === undefined || oldest.sequence > sequence) return;
    const took = now - oldest.sentAt;
    const weight = took > this.#answerTime ? SLOWER_WEIGHT : FASTER_WEIGHT;
    this.#answerTime += weight * (took - this.#answerTime);
    this.#meanAnswerTime += MEAN_WEIGHT * (took - this.#meanAnswerTime);
  }

  /** Requests of which the keeper may not know; from now on this ask tells of them. */
  #untold(
    requests: Map<RequestId, number>,
    sequence: number,
  ): RequestId[] {
    const untold: RequestId[] = [];
    for (const [request, told] of requests) {
      if (told <= this.#answered) continue;
      untold.push(request);
      requests.set(request, Math.min(told, sequence));
    }
    return untold;
  }

  /** The keeper knows nothing of this host's requests. */
  #describeAnew(): void {
    for (const request of this.#described.keys()) {
      this.#described.set(request, Infinity);
    }
    this.#withdrawn.clear();
  }

  #turnTo(keeper: HostId): void {
    this.#keeper = keeper;
    this.#keeperIncarnation = undefined;
    this.#verdictsSeen = 0;
    this.#unanswered = [];
    this.#describeAnew();
  }
}
