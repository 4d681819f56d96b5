import type {
  FailureDomain,
  HostId,
  Incarnation,
  Milliseconds,
  Random,
  RequestId,
  ServiceId,
  UpstreamId,
} from "@wasabivane/common";
import { CellSession, type FailoverReason } from "./cellSession.ts";
import { CellSelector } from "./cellSelector.ts";
import { CellMap } from "./cellMap.ts";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import type {
  CellReply,
  CellUpdate,
  NumberedDecision,
  UpstreamReport,
} from "./cellMessages.ts";
import { CellSnapshots } from "./cellSnapshots.ts";
import { CoordinatorSelector } from "./coordinatorSelector.ts";
import type { CoordinatorCandidate } from "./rankCoordinators.ts";
import {
  type PlacementDecision,
  type PlacementRefusal,
  RequestScheduler,
} from "./requestScheduler.ts";
import {
  createPendingRequest,
  latestStart,
  type PlacementRequest,
} from "./placementRequest.ts";
import { LocalStartLimit } from "./startLimit.ts";
import { type Eligibility, isEligible } from "./eligibility.ts";
import type { Upstream } from "./types.ts";
import type { UpstreamDirectory } from "./upstreamDirectory.ts";
import { type UpstreamBackoff, UpstreamBackoffs } from "./upstreamBackoffs.ts";
import type { AttemptObservation, UpstreamStats } from "./upstreamStats.ts";

/**
 * Coordinators in a row that may be unresponsive before a host schedules
 * locally.
 */
const MAXIMUM_UNRESPONSIVE_COORDINATORS = 2;
/**
 * A longer time between two ticks while a reply is due means that this host was
 * suspended, for example by its CPU quota.
 */
const SUSPENSION_MS: Milliseconds = 40;
/**
 * Delay within which processed prompts are reported, as they free capacity at
 * the coordinator.
 */
const PREFILL_REPORT_MS: Milliseconds = 40;
/** Delay within which a changed limit or slowdown of an upstream is reported. */
const LIMIT_REPORT_MS: Milliseconds = 40;
/**
 * Delay within which decisions are acknowledged, which only saves the
 * coordinator a resend.
 */
const ACKNOWLEDGE_MS: Milliseconds = 80;
/** Retry delay of callers during an evacuation. */
const EVACUATED_RETRY_MS: Milliseconds = 1_000;
/** Cells in which one request waits at most. */
const MAXIMUM_CELLS = 2;

/** Dependencies and settings of a {@link PlacementClient}. */
export interface PlacementClientOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  readonly directory: UpstreamDirectory;
  readonly stats: UpstreamStats;
  readonly random: Random;
  /** Hosts that are alive, including this one. */
  readonly candidates: () => readonly CoordinatorCandidate[];
  /**
   * Starts per second that an upstream can take while warming up; `undefined`
   * if unlimited.
   */
  readonly coldStartsOf: (upstream: Upstream) => number | undefined;
  readonly send: (coordinator: HostId, update: CellUpdate) => void;
  /**
   * Called when an update must be sent later; see
   * {@link PlacementClient.sendAt}.
   */
  readonly onSendScheduled: () => void;
  /** Called when the coordinator of a cell changes. */
  readonly onCoordinatorChange: (change: CoordinatorChange) => void;
}

/** A change of the coordinator of a cell, or to local scheduling. */
export interface CoordinatorChange {
  readonly cell: CellKey;
  readonly kind: "silent" | "leaving" | "alone";
  readonly coordinator: HostId | undefined;
}

/** Interval at which idle accounts are dropped where nothing waits. */
const ACCOUNT_CHECK_INTERVAL_MS: Milliseconds = 1_000;

/** A request that waits for a slot, and the cells in which it waits. */
interface WaitingRequest {
  placementRequest: PlacementRequest;
  readonly decide: (decision: PlacementDecision) => void;
  readonly cells: Set<CellKey>;
  isLocal: boolean;
}

/**
 * Obtains slots for the requests of one host from the coordinators of cells,
 * skips unresponsive ones, and schedules locally if none replies.
 *
 * A request is queued in the nearest cell with a free slot. If it has to wait,
 * it is queued in one more cell and takes the first grant; the other
 * coordinator learns that from the next update. An unresponsive coordinator
 * delays only the first requests sent to it, as hosts report it to each other.
 */
export class PlacementClient {
  readonly #options: PlacementClientOptions;
  readonly #localScheduler: RequestScheduler;
  readonly #waiting = new Map<RequestId, WaitingRequest>();
  readonly #cells: CellMap;
  readonly #sessions = new Map<CellKey, CellSession>();
  readonly #snapshots = new CellSnapshots();
  readonly #selector: CellSelector;
  readonly #coordinators: CoordinatorSelector;
  readonly #backoffs = new UpstreamBackoffs();
  #tickedAt: Milliseconds = -Infinity;
  #accountsCheckedAt: Milliseconds = -Infinity;

  constructor(options: PlacementClientOptions) {
    const { directory, stats, random } = options;
    this.#options = options;
    this.#cells = new CellMap(directory);
    this.#selector = new CellSelector({
      ...options,
      cells: this.#cells,
      snapshots: this.#snapshots,
    });
    this.#coordinators = new CoordinatorSelector(options);
    this.#localScheduler = new RequestScheduler({
      upstreams: directory,
      stats,
      health: stats.health,
      random,
      starts: new LocalStartLimit({
        coldStartsOf: options.coldStartsOf,
        stats,
        hosts: () => options.candidates().length,
        random,
      }),
    });
  }

  /** Number of requests that wait for a slot. */
  get waitingTotal(): number {
    return this.#waiting.size;
  }

  /** Number of accounts that wait or have started locally of late. */
  get localAccountCount(): number {
    return this.#localScheduler.accountCount;
  }

  /** Number of this host's requests at upstreams. */
  get inFlightTotal(): number {
    let total = 0;
    for (
      const { requests } of this.#localScheduler.load.ownInFlight().values()
    ) {
      total += requests;
    }
    return total;
  }

  /**
   * Whether a reply is due or requests are scheduled locally, so that ticks
   * must be frequent.
   */
  get isBusy(): boolean {
    if (this.#localScheduler.waitingTotal > 0) return true;
    for (const { isAwaitingReply } of this.#sessions.values()) {
      if (isAwaitingReply) return true;
    }
    return false;
  }

  /**
   * Latest time for the next update to a coordinator; `Infinity` if none is
   * needed.
   */
  get sendAt(): Milliseconds {
    let at = Infinity;
    for (const { sendAt } of this.#sessions.values()) {
      at = Math.min(at, sendAt);
    }
    return at;
  }

  /** Requests a slot; the decision may come before the call returns. */
  submit(
    placementRequest: PlacementRequest,
    decide: (decision: PlacementDecision) => void,
    now: Milliseconds,
  ): void {
    const waitingRequest = {
      placementRequest,
      decide,
      cells: new Set<CellKey>(),
      isLocal: false,
    };
    this.#waiting.set(placementRequest.request, waitingRequest);
    if (this.#options.directory.isEvacuated(placementRequest.service)) {
      return this.#refuseEvacuated(waitingRequest, now);
    }
    if (this.#refuseIfBackedOff(waitingRequest, now)) return;
    const cell = this.#selector.selectFirst(placementRequest, now);
    if (cell === undefined) this.#scheduleLocally(waitingRequest, now);
    else this.#queueIn(cell, waitingRequest, now);
  }

  /** Withdraws a request that still waits. */
  withdraw(service: ServiceId, request: RequestId, now: Milliseconds): void {
    const waitingRequest = this.#waiting.get(request);
    if (waitingRequest === undefined) return;
    this.#remove(waitingRequest);
    this.#localScheduler.withdraw(service, request);
    for (const key of waitingRequest.cells) this.#sendUpdate(key, now);
  }

  /** Records that a request was sent to an upstream. */
  begin(upstream: UpstreamId, promptTokens: number): void {
    this.#localScheduler.load.begin(upstream, promptTokens);
  }

  /**
   * Records that the upstream has processed the prompt of a request or will not
   * process it.
   */
  endPrefill(
    upstream: Upstream,
    promptTokens: number,
    now: Milliseconds,
  ): void {
    this.#localScheduler.load.endPrefill(upstream.upstream, promptTokens);
    if (promptTokens <= 0) return;
    const cell = this.#cells.cellOf(upstream);
    if (cell === undefined) return;
    this.#sessionOf(cell).sendBy(now + PREFILL_REPORT_MS);
    this.#options.onSendScheduled();
  }

  /** Records what an upstream reported; the next update passes it on. */
  recordUpstreamReport(
    { upstream, ...rest }: Upstream,
    report: UpstreamReport,
    now: Milliseconds,
  ): void {
    const { requests, startsPerSecond, rejectionsPerSecond, slowdown } = report;
    const { rateLimits, tolerances, slowdowns } = this.#options.stats;
    slowdowns.record({ service: rest.service, upstream, slowdown }, now);
    const isToleranceChanged =
      tolerances.of(rest.service) !== rejectionsPerSecond;
    tolerances.record(rest.service, rejectionsPerSecond, now);
    if (requests !== undefined) {
      this.#localScheduler.load.recordReport(upstream, requests, now);
    }
    const cell = this.#cells.cellOf({ upstream, ...rest });
    if (cell === undefined) return;
    const isLimitChanged = rateLimits.of(upstream) !== startsPerSecond;
    rateLimits.record(upstream, startsPerSecond, now);
    const session = this.#sessionOf(cell);
    const isSlowdownChanged = session.isSlowdownChanged(upstream, {
      slowdown,
      now,
    });
    session.setUpstreamReport(upstream, report);
    if (!isLimitChanged && !isToleranceChanged && !isSlowdownChanged) return;
    session.sendBy(now + LIMIT_REPORT_MS);
    this.#options.onSendScheduled();
  }

  /**
   * Records that this host must send an upstream nothing for a time; the next
   * update passes it on. Requests for which it was the last one are refused.
   */
  recordBackoff(
    { upstream, service }: Upstream,
    retryAfter: Milliseconds,
    now: Milliseconds,
  ): void {
    this.#backoffs.record([upstream, now + retryAfter], now);
    for (const waitingRequest of [...this.#waiting.values()]) {
      const { placementRequest } = waitingRequest;
      const isConcerned = placementRequest.service === service &&
        this.#waiting.has(placementRequest.request);
      if (!isConcerned) continue;
      this.#refuseIfBackedOff(waitingRequest, now);
    }
  }

  /** Whether this host may send requests to an upstream now. */
  isUsable(upstream: UpstreamId, now: Milliseconds): boolean {
    const isListed = this.#options.directory.get(upstream) !== undefined;
    return isListed && !this.#backoffs.has(upstream, now);
  }

  /** Reports a failed connection that was not for a request of this host. */
  report(observation: AttemptObservation, now: Milliseconds): void {
    const upstream = this.#options.directory.get(observation.upstream);
    const cell = upstream && this.#cells.cellOf(upstream);
    if (cell === undefined) return;
    this.#options.stats.record(observation, now);
    const session = this.#sessionOf(cell);
    session.addObservation(observation, now);
    this.#sendUpdate(session.key, now);
    this.#options.onSendScheduled();
  }

  /** Records the end of a request at an upstream. */
  end(
    upstream: Upstream,
    observation: AttemptObservation,
    now: Milliseconds,
  ): void {
    this.#localScheduler.load.end(upstream.upstream);
    const cell = this.#cells.cellOf(upstream);
    if (cell !== undefined) {
      const session = this.#sessionOf(cell);
      session.addObservation(observation, now);
      // A reply to a later update acknowledges this one as well.
      const isLast = !session.hasWaiting && !this.#hasLoadAt(cell);
      this.#sendUpdate(session.key, now, { wantsReply: isLast });
      this.#options.onSendScheduled();
    }
    if (this.#localScheduler.waitingTotal > 0) this.#localScheduler.review(now);
  }

  /** Applies the reply of a coordinator. */
  receive(reply: CellReply, now: Milliseconds): void {
    const { incarnation } = this.#options;
    if (reply.toIncarnation !== incarnation) return;
    for (const snapshot of reply.snapshots) this.#snapshots.update(snapshot);
    const key = cellKeyOf(reply.cell);
    const session = this.#sessions.get(key);
    const newDecisions = session?.receive(reply, now);
    if (session === undefined || newDecisions === undefined) return;
    this.#coordinators.recordReply(reply.host, now);
    if (newDecisions.length > 0) {
      session.sendBy(now + ACKNOWLEDGE_MS);
      this.#options.onSendScheduled();
    }
    for (const decision of newDecisions) {
      this.#applyDecision(decision, key, now);
    }
    const isRemote = reply.host !== this.#options.host;
    if (reply.isLeaving && isRemote) this.#failOver(session, "leaving", now);
    this.#queueInSecondCell(key, now);
  }

  /**
   * Reports load and waiting requests to a coordinator that has just started.
   */
  resync(cell: Cell, now: Milliseconds): void {
    const session = this.#sessions.get(cellKeyOf(cell));
    if (session === undefined) return;
    if (!this.#hasLoadAt(cell) && !session.hasWaiting) return;
    session.scheduleListing();
    this.#reportLimits(session);
    this.#sendUpdate(session.key, now);
  }

  /** Coordinators of the cells, as this host sees them. */
  get coordinators(): CoordinatorSelector {
    return this.#coordinators;
  }

  /**
   * Returns for how long this host has been in charge of a cell; 0 if it is
   * not, or if the service is partitioned into other cells now.
   */
  timeInCharge(cell: Cell, now: Milliseconds): Milliseconds {
    const key = cellKeyOf(cell);
    const isCurrent = this.#cells.cellsOf(cell.service).some((current) =>
      cellKeyOf(current) === key
    );
    return isCurrent ? this.#coordinators.timeInCharge(cell, now) : 0;
  }

  /** Returns the cells of a service. */
  cellsOf(service: ServiceId): readonly Cell[] {
    return this.#cells.cellsOf(service);
  }

  /**
   * Resends unacknowledged updates, refreshes load and detects unresponsive
   * coordinators.
   */
  tick(now: Milliseconds): void {
    const pause = now - this.#tickedAt;
    this.#tickedAt = now;
    for (const session of [...this.#sessions.values()]) {
      if (pause > SUSPENSION_MS) session.extendTimeouts(pause, now);
      const { key, cell } = session;
      const action = session.nextAction({
        hasLoad: this.#hasLoadAt(cell),
        now,
      });
      if (action === "skip-coordinator") this.#failOver(session, "silent", now);
      else if (action === "update") this.#sendUpdate(key, now);
      else if (action === "notify") {
        this.#sendUpdate(key, now, { wantsReply: false });
      } else if (action === "close") this.#sessions.delete(key);
    }
    if (now - this.#accountsCheckedAt >= ACCOUNT_CHECK_INTERVAL_MS) {
      this.#accountsCheckedAt = now;
      this.#localScheduler.discardAccountUse(now);
    } else if (this.#localScheduler.waitingTotal > 0) {
      this.#localScheduler.review(now);
    }
  }

  /** Queues requests in other cells if needed after upstreams have changed. */
  review(now: Milliseconds): void {
    for (const waitingRequest of [...this.#waiting.values()]) {
      if (
        this.#options.directory.isEvacuated(
          waitingRequest.placementRequest.service,
        )
      ) {
        this.#refuseEvacuated(waitingRequest, now);
        continue;
      }
      if (this.#refuseIfBackedOff(waitingRequest, now)) continue;
      if (
        waitingRequest.isLocal ||
        !this.#waiting.has(waitingRequest.placementRequest.request)
      ) continue;
      const known = new Set(
        this.#cells.cellsOf(waitingRequest.placementRequest.service).map(
          cellKeyOf,
        ),
      );
      for (const key of [...waitingRequest.cells]) {
        if (!known.has(key)) this.#leaveCell(waitingRequest, key);
      }
      if (waitingRequest.cells.size > 0) continue;
      const cell = this.#selector.selectFirst(
        waitingRequest.placementRequest,
        now,
      );
      if (cell !== undefined) this.#queueIn(cell, waitingRequest, now);
    }
    if (this.#localScheduler.waitingTotal > 0) this.#localScheduler.review(now);
  }

  /**
   * Whether a service had spare slots and no waiting requests when last
   * reported.
   */
  isIdle(service: ServiceId, now: Milliseconds): boolean {
    return this.#snapshots.areIdle(this.#cells.cellsOf(service), now);
  }

  /**
   * Whether a service has an available upstream that a request may go to.
   */
  hasAlternative(
    service: ServiceId,
    { now, ...request }: Eligibility & { now: Milliseconds },
  ): boolean {
    const { directory, stats } = this.#options;
    return directory.of(service).some((upstream) =>
      isEligible(upstream, request) &&
      !this.#backoffs.has(upstream.upstream, now) &&
      !stats.health.isEjected(upstream.upstream, now)
    );
  }

  /** Queues the requests that wait in a cell in one more cell. */
  #queueInSecondCell(key: CellKey, now: Milliseconds): void {
    for (const waitingRequest of this.#waitingIn(key)) {
      const { placementRequest, cells: joined } = waitingRequest;
      if (joined.size >= MAXIMUM_CELLS) continue;
      const other = this.#selector.selectAdditional(placementRequest, {
        joined,
        now,
      });
      if (other !== undefined) this.#queueIn(other, waitingRequest, now);
    }
  }

  #queueIn(
    cell: Cell,
    waitingRequest: WaitingRequest,
    now: Milliseconds,
  ): void {
    const session = this.#sessionOf(cell);
    waitingRequest.cells.add(session.key);
    session.add(waitingRequest.placementRequest.request);
    this.#sendUpdate(session.key, now);
  }

  #applyDecision(
    { request, decision }: NumberedDecision,
    key: CellKey,
    now: Milliseconds,
  ): void {
    const waitingRequest = this.#waiting.get(request);
    if (waitingRequest === undefined || !waitingRequest.cells.has(key)) {
      if (decision.kind === "place") this.#sendUpdate(key, now);
      return;
    }
    if (decision.kind === "refuse") {
      return this.#applyRefusal(waitingRequest, { key, decision, now });
    }
    const upstream = this.#options.directory.get(decision.upstream);
    const isAllowed = upstream !== undefined &&
      isEligible(upstream, waitingRequest.placementRequest);
    if (!isAllowed) {
      // The coordinator does not know yet that the upstream left. Excluding the
      // upstream keeps it from being granted again and again.
      const excluded = new Set([
        ...waitingRequest.placementRequest.excluded,
        decision.upstream,
      ]);
      waitingRequest.placementRequest = {
        ...waitingRequest.placementRequest,
        excluded,
      };
      this.#sessions.get(key)?.add(request);
      return this.#sendUpdate(key, now);
    }
    if (this.#backoffs.has(decision.upstream, now)) {
      // Granted before the coordinator learned of the backoff.
      this.#sessions.get(key)?.add(request);
      return this.#sendUpdate(key, now);
    }
    this.#remove(waitingRequest, key);
    const coordinator = this.#sessions.get(key)?.coordinator;
    waitingRequest.decide({
      ...decision,
      upstream,
      ...coordinator !== undefined && { coordinator },
    });
    for (const other of waitingRequest.cells) {
      if (other !== key) this.#sendUpdate(other, now, { wantsReply: false });
    }
  }

  /** Refuses a request once no cell accepts it. */
  #applyRefusal(
    waitingRequest: WaitingRequest,
    { key, decision, now }: {
      key: CellKey;
      decision: Extract<PlacementDecision, { kind: "refuse" }>;
      now: Milliseconds;
    },
  ): void {
    this.#leaveCell(waitingRequest, key, { shouldNotify: false });
    if (waitingRequest.cells.size > 0) return;
    const other = decision.reason === "no-other-upstream"
      ? this.#cellWithAlternative(waitingRequest.placementRequest)
      : undefined;
    if (other !== undefined && cellKeyOf(other) !== key) {
      return this.#queueIn(other, waitingRequest, now);
    }
    this.#remove(waitingRequest);
    waitingRequest.decide(decision);
  }

  /** Refuses a request for whose service all upstreams are evacuated. */
  #refuseEvacuated(waitingRequest: WaitingRequest, now: Milliseconds): void {
    this.#refuse(waitingRequest, {
      reason: "evacuated",
      wait: EVACUATED_RETRY_MS,
      now,
    });
  }

  /**
   * Refuses a request if this host backs off from every upstream that it could
   * go to, for longer than a start is of use; returns whether it did.
   */
  #refuseIfBackedOff(
    waitingRequest: WaitingRequest,
    now: Milliseconds,
  ): boolean {
    const { placementRequest } = waitingRequest;
    const { directory, stats } = this.#options;
    const usable = directory.of(placementRequest.service).filter((upstream) =>
      isEligible(upstream, placementRequest)
    );
    const endsAt = this.#backoffs.firstEnd(usable, now);
    const isInTime = endsAt === undefined ||
      endsAt <= latestStart(placementRequest, stats);
    if (isInTime) return false;
    this.#refuse(waitingRequest, {
      reason: "backoff",
      wait: endsAt - now,
      now,
    });
    return true;
  }

  /** Withdraws a request and refuses it without a coordinator's decision. */
  #refuse(
    { placementRequest, decide }: WaitingRequest,
    { reason, wait, now }: {
      reason: PlacementRefusal;
      wait: Milliseconds;
      now: Milliseconds;
    },
  ): void {
    this.withdraw(placementRequest.service, placementRequest.request, now);
    decide({
      kind: "refuse",
      reason,
      estimate: { ahead: 0, startsPerSecond: 0, wait },
    });
  }

  /** Returns a cell with an upstream that has not had the request. */
  #cellWithAlternative(request: PlacementRequest): Cell | undefined {
    const upstream = this.#options.directory.of(request.service).find((
      candidate,
    ) => isEligible(candidate, request));
    return upstream === undefined ? undefined : this.#cells.cellOf(upstream);
  }

  #scheduleLocally(waitingRequest: WaitingRequest, now: Milliseconds): void {
    waitingRequest.isLocal = true;
    for (const key of [...waitingRequest.cells]) {
      this.#leaveCell(waitingRequest, key);
    }
    const pending = createPendingRequest(
      waitingRequest.placementRequest,
      this.#options.stats,
      (decision) => {
        this.#remove(waitingRequest);
        waitingRequest.decide(decision);
      },
    );
    this.#localScheduler.submit({ ...pending, backoffs: this.#backoffs }, now);
  }

  /**
   * Removes a request; `decidedBy` is the cell whose coordinator made the
   * decision.
   */
  #remove(
    { placementRequest, cells }: WaitingRequest,
    decidedBy?: CellKey,
  ): void {
    this.#waiting.delete(placementRequest.request);
    for (const key of cells) {
      const shouldNotify = key !== decidedBy;
      this.#sessions.get(key)?.remove(placementRequest.request, {
        shouldNotify,
      });
    }
  }

  /** Removes a request from the queue of a cell. */
  #leaveCell(
    waitingRequest: WaitingRequest,
    key: CellKey,
    { shouldNotify = true }: { shouldNotify?: boolean } = {},
  ): void {
    waitingRequest.cells.delete(key);
    this.#sessions.get(key)?.remove(waitingRequest.placementRequest.request, {
      shouldNotify,
    });
  }

  #failOver(
    session: CellSession,
    kind: FailoverReason,
    now: Milliseconds,
  ): void {
    const { coordinator, key } = session;
    const { host, onCoordinatorChange } = this.#options;
    if (coordinator !== undefined) this.#coordinators.skip(coordinator, now);
    onCoordinatorChange({ cell: key, kind, coordinator });
    session.recordFailover(kind);
    const isLocal =
      session.unresponsiveCoordinators >= MAXIMUM_UNRESPONSIVE_COORDINATORS ||
      coordinator === host;
    if (!isLocal) return this.#sendUpdate(key, now);
    onCoordinatorChange({ cell: key, kind: "alone", coordinator });
    for (const waitingRequest of this.#waitingIn(key)) {
      this.#scheduleLocally(waitingRequest, now);
    }
    session.reset();
  }

  #sendUpdate(
    key: CellKey,
    now: Milliseconds,
    { wantsReply = true }: { wantsReply?: boolean } = {},
  ): void {
    const session = this.#sessions.get(key);
    if (session === undefined) return;
    const { host, incarnation, send } = this.#options;
    const coordinator = this.#coordinators.coordinatorOf(session.cell, now);
    const { described, ...update } = session.createUpdate({
      coordinator,
      wantsReply,
      now,
    });
    send(coordinator, {
      ...update,
      host,
      incarnation,
      inFlight: this.#loadAt(session.cell),
      backoffs: this.#avoided(now).filter(([upstream]) =>
        this.#cells.hasUpstream(session.cell, upstream)
      ),
      requests: described.flatMap((request) =>
        this.#waiting.get(request)?.placementRequest ?? []
      ),
    });
  }

  /** Returns the upstreams that must not be granted to this host now. */
  #avoided(now: Milliseconds): UpstreamBackoff[] {
    const ejections = this.#options.stats.health.activeEjections(now);
    return [
      ...this.#backoffs.active(now),
      ...ejections.map(({ upstream, until }) => [upstream, until] as const),
    ];
  }

  /** Reports the limits that upstreams of the cell have named to this host. */
  #reportLimits(session: CellSession): void {
    const { rateLimits, tolerances } = this.#options.stats;
    for (const upstream of rateLimits.upstreams()) {
      if (!this.#cells.hasUpstream(session.cell, upstream)) continue;
      const startsPerSecond = rateLimits.of(upstream);
      const rejectionsPerSecond = tolerances.of(session.cell.service);
      session.setUpstreamReport(upstream, {
        requests: undefined,
        startsPerSecond,
        ...rejectionsPerSecond !== undefined && { rejectionsPerSecond },
      });
    }
  }

  #hasLoadAt(cell: Cell): boolean {
    for (const upstream of this.#localScheduler.load.ownInFlight().keys()) {
      if (this.#cells.hasUpstream(cell, upstream)) return true;
    }
    return false;
  }

  #loadAt(
    cell: Cell,
  ): Map<UpstreamId, { requests: number; pendingPrefillTokens: number }> {
    const loads = new Map();
    for (const [upstream, load] of this.#localScheduler.load.ownInFlight()) {
      if (this.#cells.hasUpstream(cell, upstream)) loads.set(upstream, load);
    }
    return loads;
  }

  #waitingIn(key: CellKey): WaitingRequest[] {
    const requests = [...this.#sessions.get(key)?.waiting ?? []];
    return requests.flatMap((request) => this.#waiting.get(request) ?? []);
  }

  #sessionOf(cell: Cell): CellSession {
    const key = cellKeyOf(cell);
    let session = this.#sessions.get(key);
    if (session === undefined) {
      session = new CellSession(cell);
      this.#sessions.set(key, session);
    }
    return session;
  }
}
