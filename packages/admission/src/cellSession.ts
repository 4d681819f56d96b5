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
  UpstreamReport,
} from "./cellMessages.ts";
import { decayedSlowdown, isSlowdown } from "./momentarySlowdown.ts";
import { weightAt } from "./recentFigures.ts";
import type { AttemptObservation } from "./upstreamStats.ts";

/** Shortest time after which an update without a reply is resent. */
const RESEND_MS: Milliseconds = 30;
/**
 * Multiple of the recent reply time after which an update is resent, so that
 * resends do not overload a slow coordinator.
 */
const RESEND_FACTOR = 2;
/**
 * Reply timeout of a coordinator that usually replies fast. Exceeds the time
 * for which a CPU quota can suspend a process.
 */
const REPLY_TIMEOUT_MS: Milliseconds = 100;
/**
 * Multiple of the recent reply time that a slow coordinator is given. All
 * coordinators are slow in a burst, and a successor starts without any state.
 */
const REPLY_TIMEOUT_FACTOR = 4;
const MAXIMUM_REPLY_TIMEOUT_MS: Milliseconds = 400;
/** Weights of a faster and of a slower sample in the recent reply time. */
const FASTER_REPLY_WEIGHT = 0.1;
const SLOWER_REPLY_WEIGHT = 0.5;
/**
 * Weight of a sample in the mean reply time that is reported to the
 * coordinator.
 */
const MEAN_REPLY_TIME_WEIGHT = 0.2;
/**
 * Interval at which load is refreshed and all waiting requests are listed. Must
 * be shorter than the time after which a coordinator drops a host's requests.
 */
const REFRESH_INTERVAL_MS: Milliseconds = 500;
/**
 * An update that is sent for another reason includes the list if the last one
 * is older.
 */
const EARLY_LISTING_MS: Milliseconds = 250;
/**
 * Time after which a reply is requested if observations are still
 * unacknowledged: until the end of an attempt arrives, its slot counts as
 * taken.
 */
const ACKNOWLEDGEMENT_TIMEOUT_MS: Milliseconds = 200;
/** A session without load or waiting requests is closed after this time. */
const IDLE_MS: Milliseconds = 2_000;
/** Relative change of a slowdown that is worth an update of its own. */
const SLOWDOWN_CHANGE = 0.25;
/** Unacknowledged observations that are kept at most. */
const MAXIMUM_OBSERVATIONS = 16;

/** Why a coordinator is skipped. */
export type FailoverReason = "silent" | "leaving";

/** What a host has to do next in a session. */
export type SessionAction =
  | "none"
  | "update"
  | "notify"
  | "skip-coordinator"
  | "close";

/** Part of an update that a {@link CellSession} provides. */
export interface UpdatePart extends
  Omit<
    CellUpdate,
    "host" | "incarnation" | "inFlight" | "requests" | "backoffs"
  > {
  /** Requests that the update must describe. */
  readonly described: readonly RequestId[];
}

interface PendingUpdate {
  readonly sequence: number;
  readonly sentAt: Milliseconds;
}

/**
 * State of the exchange between this host and the coordinator of one cell: what
 * the coordinator has acknowledged, and what has to be sent or resent.
 */
export class CellSession {
  readonly cell: Cell;
  readonly key: CellKey;
  #coordinator: HostId | undefined;
  #coordinatorIncarnation: Incarnation | undefined;
  #sequence = 0;
  #decisionsSeen = 0;
  #observations: AttemptObservation[] = [];
  /**
   * When the oldest unacknowledged observation was made; `Infinity` without
   * any.
   */
  #unconfirmedSince: Milliseconds = Infinity;
  #firstObservation = 1;
  readonly #reports = new Map<UpstreamId, UpstreamReport>();
  /** Slowdowns that the coordinator was last told, and when. */
  readonly #slowdownsTold = new Map<
    UpstreamId,
    { slowdown: number; at: Milliseconds }
  >();
  /**
   * Waiting requests, with the sequence of the update that first described each
   * to this coordinator.
   */
  readonly #describedIn = new Map<RequestId, number>();
  /** Withdrawn requests, with the sequence of the update that first said so. */
  readonly #withdrawnIn = new Map<RequestId, number>();
  /** Sequence of the last update that the coordinator replied to. */
  #acknowledged = 0;
  #isListingDue = false;
  /** Updates that await a reply, oldest first. */
  #pendingUpdates: PendingUpdate[] = [];
  #sentAt: Milliseconds = -Infinity;
  /** Latest time for sending what does not justify an update of its own. */
  #sendBy: Milliseconds = Infinity;
  #listedAt: Milliseconds = -Infinity;
  #unresponsiveCoordinators = 0;
  /** Recent reply time; slower samples weigh more. */
  #replyTime: Milliseconds = 0;
  #meanReplyTime: Milliseconds = 0;

  constructor(cell: Cell) {
    this.cell = cell;
    this.key = cellKeyOf(cell);
  }

  get coordinator(): HostId | undefined {
    return this.#coordinator;
  }

  get isAwaitingReply(): boolean {
    return this.#pendingUpdates.length > 0;
  }

  /** Number of coordinators in a row that did not reply. */
  get unresponsiveCoordinators(): number {
    return this.#unresponsiveCoordinators;
  }

  /** Requests that wait in this cell. */
  get waiting(): Iterable<RequestId> {
    return this.#describedIn.keys();
  }

  get hasWaiting(): boolean {
    return this.#describedIn.size > 0;
  }

  /** Adds a waiting request. */
  add(request: RequestId): void {
    this.#withdrawnIn.delete(request);
    this.#describedIn.set(request, Infinity);
  }

  /**
   * Removes a waiting request; the coordinator is notified unless it made the
   * decision itself.
   */
  remove(
    request: RequestId,
    { shouldNotify = true }: { shouldNotify?: boolean } = {},
  ): void {
    if (!this.#describedIn.delete(request)) return;
    if (shouldNotify) this.#withdrawnIn.set(request, Infinity);
  }

  /** Records what an upstream of the cell reported. */
  setUpstreamReport(upstream: UpstreamId, report: UpstreamReport): void {
    this.#reports.set(upstream, report);
  }

  /**
   * Whether a slowdown differs enough from what the coordinator makes of the one
   * that it was last told.
   */
  isSlowdownChanged(
    upstream: UpstreamId,
    { slowdown, now }: { slowdown: number | undefined; now: Milliseconds },
  ): boolean {
    if (slowdown === undefined || !isSlowdown(slowdown)) return false;
    const told = this.#slowdownsTold.get(upstream);
    const known = told === undefined
      ? 1
      : decayedSlowdown(told.slowdown, now - told.at);
    return Math.abs(slowdown - known) >= SLOWDOWN_CHANGE * known;
  }

  /** Records the result of an attempt in this cell. */
  addObservation(observation: AttemptObservation, now: Milliseconds): void {
    this.#observations.push(observation);
    this.#unconfirmedSince = Math.min(this.#unconfirmedSince, now);
    if (this.#observations.length <= MAXIMUM_OBSERVATIONS) return;
    this.#observations.shift();
    this.#firstObservation++;
  }

  /**
   * Makes the next update list all waiting requests, as the coordinator may
   * have lost some.
   */
  scheduleListing(): void {
    this.#isListingDue = true;
  }

  /** Requests an update no later than the given time. */
  sendBy(at: Milliseconds): void {
    this.#sendBy = Math.min(this.#sendBy, at);
  }

  /** Latest time for the next update; `Infinity` if none is needed. */
  get sendAt(): Milliseconds {
    const listAt = this.hasWaiting
      ? this.#listedAt + REFRESH_INTERVAL_MS
      : Infinity;
    const confirmAt = this.#unconfirmedSince + ACKNOWLEDGEMENT_TIMEOUT_MS;
    return Math.min(this.#sendBy, listAt, confirmAt);
  }

  /** Creates the next update, except for what only the host knows. */
  createUpdate(
    { coordinator, wantsReply, now }: {
      coordinator: HostId;
      wantsReply: boolean;
      now: Milliseconds;
    },
  ): UpdatePart {
    if (coordinator !== this.#coordinator) this.#switchCoordinator(coordinator);
    const sequence = ++this.#sequence;
    if (wantsReply) this.#pendingUpdates.push({ sequence, sentAt: now });
    this.#sentAt = now;
    this.#sendBy = Infinity;
    const isListing = this.#isListingDue ||
      (this.hasWaiting && now - this.#listedAt >= EARLY_LISTING_MS);
    if (isListing) this.#listedAt = now;
    const reports = this.#takeReports(now);
    this.#isListingDue = false;
    return {
      cell: this.cell,
      sequence,
      described: this.#unacknowledged(this.#describedIn, sequence),
      withdrawn: this.#unacknowledged(this.#withdrawnIn, sequence),
      ...isListing && { waiting: [...this.#describedIn.keys()] },
      reports,
      observations: [...this.#observations],
      firstObservation: this.#firstObservation,
      decisionsSeen: this.#decisionsSeen,
      wantsReply,
      replyTime: this.#meanReplyTime,
    };
  }

  /**
   * Applies a reply; returns its new decisions, or `undefined` if it is not
   * from the current coordinator.
   */
  receive(
    reply: CellReply,
    now: Milliseconds,
  ): NumberedDecision[] | undefined {
    if (reply.host !== this.#coordinator) return undefined;
    this.#recordReplyTime(reply.sequence, now);
    if (reply.incarnation !== this.#coordinatorIncarnation) {
      this.#coordinatorIncarnation = reply.incarnation;
      this.#decisionsSeen = 0;
      this.#describeAll();
    }
    this.#unresponsiveCoordinators = 0;
    this.#acknowledged = Math.max(this.#acknowledged, reply.sequence);
    for (const [request, sequence] of this.#withdrawnIn) {
      if (sequence <= this.#acknowledged) this.#withdrawnIn.delete(request);
    }
    for (const request of reply.unknownRequests) {
      if (this.#describedIn.has(request)) {
        this.#describedIn.set(request, Infinity);
      }
    }
    this.#pendingUpdates = this.#pendingUpdates.filter(({ sequence }) =>
      sequence > reply.sequence
    );
    const newlyAcknowledged = reply.observationsSeen - this.#firstObservation +
      1;
    if (newlyAcknowledged > 0) {
      this.#observations.splice(0, newlyAcknowledged);
      this.#firstObservation = reply.observationsSeen + 1;
    }
    this.#unconfirmedSince = this.#observations.length > 0 ? now : Infinity;
    const newDecisions = reply.decisions.filter(({ number }) =>
      number > this.#decisionsSeen
    );
    this.#decisionsSeen = Math.max(
      this.#decisionsSeen,
      ...newDecisions.map(({ number }) => number),
    );
    return newDecisions;
  }

  /** Returns what this host has to do next. */
  nextAction(
    { hasLoad, now }: { hasLoad: boolean; now: Milliseconds },
  ): SessionAction {
    const sinceSent = now - this.#sentAt;
    const whenIdle = now >= this.#sendBy ? "notify" : "none";
    const [oldest] = this.#pendingUpdates;
    if (oldest !== undefined) {
      const timeout = REPLY_TIMEOUT_FACTOR * this.#replyTime;
      const longest = Math.min(MAXIMUM_REPLY_TIMEOUT_MS, timeout);
      if (now - oldest.sentAt >= Math.max(REPLY_TIMEOUT_MS, longest)) {
        return "skip-coordinator";
      }
      const resendAfter = Math.max(RESEND_MS, RESEND_FACTOR * this.#replyTime);
      return sinceSent >= resendAfter ? "update" : whenIdle;
    }
    if (this.hasWaiting && now - this.#listedAt >= REFRESH_INTERVAL_MS) {
      this.#isListingDue = true;
      return "update";
    }
    if (now - this.#unconfirmedSince >= ACKNOWLEDGEMENT_TIMEOUT_MS) {
      return "update";
    }
    if (hasLoad && sinceSent >= REFRESH_INTERVAL_MS) return "update";
    const isBusy = hasLoad || this.hasWaiting;
    return !isBusy && sinceSent >= IDLE_MS ? "close" : whenIdle;
  }

  /**
   * Extends reply timeouts by the time for which this host was suspended:
   * replies that arrived meanwhile have yet to be read.
   */
  extendTimeouts(pause: Milliseconds, now: Milliseconds): void {
    this.#pendingUpdates = this.#pendingUpdates.map(({ sequence, sentAt }) => ({
      sequence,
      sentAt: Math.min(now, sentAt + pause),
    }));
  }

  /** Records that the coordinator did not reply or is about to stop. */
  recordFailover(kind: FailoverReason): void {
    if (kind === "silent") this.#unresponsiveCoordinators++;
    this.#pendingUpdates = [];
  }

  /** Resets the session when no coordinator replies. */
  reset(): void {
    this.#unresponsiveCoordinators = 0;
    this.#pendingUpdates = [];
  }

  /**
   * Measures the reply time by the oldest update that the reply acknowledges.
   */
  #recordReplyTime(sequence: number, now: Milliseconds): void {
    const [oldest] = this.#pendingUpdates;
    if (oldest === undefined || oldest.sequence > sequence) return;
    const duration = now - oldest.sentAt;
    const weight = duration > this.#replyTime
      ? SLOWER_REPLY_WEIGHT
      : FASTER_REPLY_WEIGHT;
    this.#replyTime += weight * (duration - this.#replyTime);
    this.#meanReplyTime += MEAN_REPLY_TIME_WEIGHT *
      (duration - this.#meanReplyTime);
  }

  /**
   * Returns the requests that the coordinator has not acknowledged, and notes
   * that this update includes them.
   */
  #unacknowledged(
    requests: Map<RequestId, number>,
    sequence: number,
  ): RequestId[] {
    const unacknowledged: RequestId[] = [];
    for (const [request, firstSequence] of requests) {
      if (firstSequence <= this.#acknowledged) continue;
      unacknowledged.push(request);
      requests.set(request, Math.min(firstSequence, sequence));
    }
    return unacknowledged;
  }

  /** Returns the reports for the next update. */
  #takeReports(now: Milliseconds): [UpstreamId, UpstreamReport][] {
    const reports = [...this.#reports];
    this.#reports.clear();
    for (const [upstream, { slowdown }] of reports) {
      if (slowdown === undefined) continue;
      // The map is ordered by time, so that old entries come first.
      this.#slowdownsTold.delete(upstream);
      this.#slowdownsTold.set(upstream, { slowdown, at: now });
    }
    for (const [upstream, { at }] of this.#slowdownsTold) {
      if (weightAt(now - at) > 0) break;
      this.#slowdownsTold.delete(upstream);
    }
    return reports;
  }

  /**
   * Has all waiting requests described again to a coordinator without state.
   */
  #describeAll(): void {
    for (const request of this.#describedIn.keys()) {
      this.#describedIn.set(request, Infinity);
    }
    this.#withdrawnIn.clear();
  }

  #switchCoordinator(coordinator: HostId): void {
    this.#coordinator = coordinator;
    this.#coordinatorIncarnation = undefined;
    this.#decisionsSeen = 0;
    this.#pendingUpdates = [];
    this.#slowdownsTold.clear();
    this.#describeAll();
  }
}
