import type {
  HostId,
  Incarnation,
  Milliseconds,
  Random,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import type { AccountUse } from "./accountUse.ts";
import { CellUpstreams } from "./cellUpstreams.ts";
import type { Cell } from "./cells.ts";
import type {
  CellDecision,
  CellReply,
  CellSnapshot,
  CellUpdate,
  NumberedDecision,
} from "./cellMessages.ts";
import type { UpstreamLoad } from "./fleetLoad.ts";
import {
  type PlacementDecision,
  RequestScheduler,
  type UpstreamSource,
} from "./requestScheduler.ts";
import {
  createPendingRequest,
  type PlacementRequest,
} from "./placementRequest.ts";
import { CoordinatorStartLimit } from "./startLimit.ts";
import type { Upstream } from "./types.ts";
import { UpstreamBackoffs } from "./upstreamBackoffs.ts";
import { LinkFailures } from "./linkFailures.ts";
import type { SlotUse } from "./placement.ts";
import { UpstreamHealth } from "./upstreamHealth.ts";
import type { AttemptObservation, UpstreamStats } from "./upstreamStats.ts";

/**
 * Updates within this time are decided in one batch, with one reply for each
 * host. A single update is decided at once.
 */
const BATCH_MS: Milliseconds = 4;
/**
 * An unacknowledged decision is resent after this time, and then after twice
 * the last interval. Exceeds the usual time to an acknowledgement.
 */
const RESEND_MS: Milliseconds = 120;
/**
 * A granted slot is free again if its host has not acknowledged the grant by
 * then.
 */
const DECISION_LIFETIME_MS: Milliseconds = 1_200;
/**
 * Requests of a host without updates for this time are withdrawn. Exceeds the
 * interval at which hosts refresh them.
 */
const HOST_TIMEOUT_MS: Milliseconds = 1_500;
/** A host without updates for this time is forgotten. */
const HOST_RETENTION_MS: Milliseconds = 10_000;
/** A coordinator without updates for this time has been replaced. */
const IDLE_MS: Milliseconds = 3_000;

/** Dependencies and settings of a {@link CellCoordinator}. */
export interface CellCoordinatorOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly cell: Cell;
  readonly upstreams: UpstreamSource;
  readonly stats: UpstreamStats;
  readonly random: Random;
  /**
   * Starts per second that an upstream can take while warming up; `undefined`
   * if unlimited.
   */
  readonly coldStartsOf: (upstream: Upstream) => number | undefined;
  /** Number of hosts believed alive, including this one. */
  readonly hostCount: () => number;
  /** Returns for how long this host has been in charge of the cell. */
  readonly timeInCharge: (now: Milliseconds) => Milliseconds;
  readonly send: (to: HostId, reply: CellReply) => void;
  /** Calls back once after the given time. */
  readonly after: (span: Milliseconds, callback: () => void) => void;
  readonly now: () => Milliseconds;
  /** Snapshots of the other cells of the service. */
  readonly otherSnapshots: () => readonly CellSnapshot[];
  readonly isLeaving: () => boolean;
  /** Called when an upstream is ejected for all hosts. */
  readonly onEjection?: (ejection: Ejection) => void;
}

/** An ejection for all hosts, and the host whose attempt caused it. */
export interface Ejection extends
  Pick<
    AttemptObservation,
    "upstream" | "service" | "outcome"
  > {
  readonly reporter: HostId;
}

/** Hosts that have to fail at an upstream until it is ejected for all. */
const WITNESSES = 2;

/** What the coordinator knows about one host. */
interface HostState {
  readonly incarnation: Incarnation;
  sequence: number;
  lastUpdateAt: Milliseconds;
  observationsSeen: number;
  decisionCount: number;
  inFlight: ReadonlyMap<UpstreamId, UpstreamLoad>;
  /** Upstreams that the host backs off from. */
  readonly backoffs: UpstreamBackoffs;
  readonly links: LinkFailures;
  /** Decisions that the host has not acknowledged. */
  unacknowledged: UnacknowledgedDecision[];
  readonly waiting: Set<RequestId>;
  /** Requests that the host lists as waiting and that are unknown here. */
  unknownRequests: RequestId[];
  shouldReply: boolean;
  /**
   * Time of the next resend of unacknowledged decisions, and the interval after
   * it.
   */
  resendAt: Milliseconds;
  resendInterval: Milliseconds;
}

interface UnacknowledgedDecision extends NumberedDecision {
  readonly until: Milliseconds;
  readonly promptTokens: number;
}

/**
 * Queues and schedules the requests of all hosts for the upstreams of one cell.
 *
 * With hundreds of hosts, each host sees only a small part of the load.
 * Scheduling on its own, it would overfill some upstreams while others are
 * idle, and start low tiers while a higher tier waits on another host.
 *
 * The state is not persisted: hosts send their load with every update and list
 * their waiting requests regularly, so a new coordinator learns both at once.
 * Two coordinators of one cell, while hosts disagree on which hosts are alive,
 * can fill its slots twice; upstreams reject the excess, and those requests are
 * placed again.
 */
export class CellCoordinator {
  readonly #options: CellCoordinatorOptions;
  readonly #scheduler: RequestScheduler;
  /** Health of upstreams as the hosts with links to them report it. */
  readonly #health = new UpstreamHealth();
  readonly #hosts = new Map<HostId, HostState>();
  #lastUpdateAt: Milliseconds;
  #lastBatchAt: Milliseconds = -Infinity;
  #isBatchScheduled = false;

  constructor(options: CellCoordinatorOptions, now: Milliseconds) {
    const { cell, upstreams, stats, random, coldStartsOf } = options;
    this.#options = options;
    this.#lastUpdateAt = now;
    this.#scheduler = new RequestScheduler({
      upstreams: new CellUpstreams(cell, upstreams),
      stats,
      health: this.#health,
      random,
      starts: new CoordinatorStartLimit({
        coldStartsOf,
        stats,
        hostCount: options.hostCount,
        isPartitioned: (now) => this.#isPartitioned(now),
        timeInCharge: options.timeInCharge,
      }),
    });
  }

  get cell(): Cell {
    return this.#options.cell;
  }

  /** Whether requests wait in this cell. */
  get hasWaiting(): boolean {
    return this.#scheduler.waitingTotal > 0;
  }

  /** Whether no host has sent an update recently. */
  isIdle(now: Milliseconds): boolean {
    return now - this.#lastUpdateAt > IDLE_MS;
  }

  /** Returns the current capacity and queue length of the cell. */
  snapshot(now: Milliseconds): CellSnapshot {
    const { cell } = this.#options;
    return { cell, at: now, ...this.#scheduler.counts(cell.service, now) };
  }

  /** Returns what the slots of the cell are used for. */
  slotUse(now: Milliseconds): SlotUse {
    return this.#scheduler.slotUse(this.cell.service, now);
  }

  /** Returns starts and refusals by account since the last call. */
  takeAccountUse(): readonly AccountUse[] {
    return this.#scheduler.takeAccountUse(this.cell.service);
  }

  /** Applies an update; replies go to every host that a decision concerns. */
  receive(update: CellUpdate, now: Milliseconds): void {
    this.#lastUpdateAt = now;
    const hostState = this.#hostStateOf(update, now);
    if (update.sequence <= hostState.sequence) return;
    hostState.sequence = update.sequence;
    // Reports refer to the load before this update, so they are applied first.
    this.#recordReports(update, now);
    hostState.lastUpdateAt = now;
    hostState.inFlight = update.inFlight;
    hostState.backoffs.replaceAll(update.backoffs);
    hostState.unacknowledged = hostState.unacknowledged.filter(({ number }) =>
      number > update.decisionsSeen
    );
    this.#scheduler.recordTurnaround(update.replyTime);
    this.#recordObservations(hostState, update, now);
    this.#updateLoad(update.host, hostState, now);
    this.#applyRequests(hostState, update, now);
    if (update.wantsReply) hostState.shouldReply = true;
    this.#scheduleBatch(now);
  }

  /** Re-evaluates the queue after time has passed or upstreams have changed. */
  review(now: Milliseconds): void {
    for (const [host, hostState] of this.#hosts) {
      this.#expire(host, hostState, now);
    }
    this.#scheduler.load.expirePeers(now);
    this.#scheduler.review(now);
    this.#sendReplies(now);
  }

  #isPartitioned(now: Milliseconds): boolean {
    const { host, hostCount } = this.#options;
    if (hostCount() <= 1) return false;
    for (const [other, { lastUpdateAt }] of this.#hosts) {
      if (other !== host && now - lastUpdateAt < HOST_TIMEOUT_MS) return false;
    }
    return true;
  }

  /**
   * Decides at once, or in one batch with the updates of the next milliseconds.
   */
  #scheduleBatch(now: Milliseconds): void {
    if (this.#isBatchScheduled) return;
    const wait = this.#lastBatchAt + BATCH_MS - now;
    if (wait <= 0) return this.#runBatch(now);
    this.#isBatchScheduled = true;
    this.#options.after(wait, () => {
      this.#isBatchScheduled = false;
      this.#runBatch(this.#options.now());
    });
  }

  #runBatch(now: Milliseconds): void {
    this.#lastBatchAt = now;
    this.#scheduler.fillSlots(this.cell.service, now);
    this.#sendReplies(now);
  }

  #hostStateOf(
    { host, incarnation }: CellUpdate,
    now: Milliseconds,
  ): HostState {
    const known = this.#hosts.get(host);
    if (known?.incarnation === incarnation) return known;
    if (known !== undefined) this.#withdrawAll(known);
    const hostState: HostState = {
      incarnation,
      sequence: 0,
      lastUpdateAt: now,
      observationsSeen: 0,
      decisionCount: 0,
      inFlight: new Map(),
      backoffs: new UpstreamBackoffs(),
      links: new LinkFailures(),
      unacknowledged: [],
      waiting: new Set(),
      unknownRequests: [],
      shouldReply: false,
      resendAt: Infinity,
      resendInterval: RESEND_MS,
    };
    this.#hosts.set(host, hostState);
    return hostState;
  }

  #recordReports(
    { host: reporter, reports }: CellUpdate,
    now: Milliseconds,
  ): void {
    const { stats, host, upstreams, cell } = this.#options;
    for (const [upstream, report] of reports) {
      const { requests, startsPerSecond, rejectionsPerSecond, slowdown } =
        report;
      if (requests !== undefined) {
        this.#scheduler.load.recordReport(upstream, requests, now);
      }
      // This host has already recorded what it was told itself.
      if (reporter === host) continue;
      const isListed = upstreams.of(cell.service).some((listed) =>
        listed.upstream === upstream
      );
      if (!isListed) continue;
      stats.rateLimits.record(upstream, startsPerSecond, now);
      stats.tolerances.record(cell.service, rejectionsPerSecond, now);
      const { service } = cell;
      stats.slowdowns.record({ service, upstream, slowdown }, now);
    }
  }

  #recordObservations(
    hostState: HostState,
    update: CellUpdate,
    now: Milliseconds,
  ): void {
    const { stats, host, onEjection } = this.#options;
    const { observations, firstObservation } = update;
    for (const [index, observation] of observations.entries()) {
      if (firstObservation + index <= hostState.observationsSeen) continue;
      if (observation.outcome === "whole") {
        this.#scheduler.recordResidence(
          observation.service,
          observation.residence,
        );
      }
      // This host has already recorded its own responses.
      if (update.host !== host) stats.recordResponse(observation, now);
      if (!this.#recordOutcome(hostState, observation, now)) continue;
      const { upstream, service, outcome } = observation;
      const reporter = update.host;
      onEjection?.({ upstream, service, outcome, reporter });
    }
    const last = firstObservation + observations.length - 1;
    hostState.observationsSeen = Math.max(hostState.observationsSeen, last);
  }

  /**
   * Records an outcome in the health that holds for all hosts; returns whether
   * it ejects the upstream. The reporter itself avoids an upstream that it
   * cannot reach, so a connection that failed ejects it for the others once a
   * second one of them agrees.
   */
  #recordOutcome(
    { links }: HostState,
    observation: AttemptObservation,
    now: Milliseconds,
  ): boolean {
    const { upstream, outcome } = observation;
    links.observe(upstream, outcome, now);
    if (links.isCutOff(now)) return false;
    if (outcome === "unreachable" && !this.#isConfirmed(upstream, now)) {
      return false;
    }
    const isEjected = this.#health.observe(upstream, outcome, now);
    if (isEjected) {
      const until = this.#health.ejectedUntil(upstream);
      this.#options.stats.recordEjection(observation, until);
    }
    return isEjected;
  }

  /** Whether enough hosts with links to other upstreams fail at this one. */
  #isConfirmed(upstream: UpstreamId, now: Milliseconds): boolean {
    const needed = Math.min(WITNESSES, this.#hosts.size);
    let witnesses = 0;
    for (const { links } of this.#hosts.values()) {
      if (links.isFailing(upstream, now) && !links.isCutOff(now)) witnesses++;
    }
    return witnesses >= needed;
  }

  /**
   * Updates a host's load: what it reports, plus granted slots that it has not
   * acknowledged.
   */
  #updateLoad(host: HostId, hostState: HostState, now: Milliseconds): void {
    const inFlight = new Map(hostState.inFlight);
    for (const { decision, promptTokens } of hostState.unacknowledged) {
      if (decision.kind !== "place") continue;
      const { requests, pendingPrefillTokens } =
        inFlight.get(decision.upstream) ??
          { requests: 0, pendingPrefillTokens: 0 };
      inFlight.set(decision.upstream, {
        requests: requests + 1,
        pendingPrefillTokens: pendingPrefillTokens + promptTokens,
      });
    }
    this.#scheduler.load.setPeerLoad(host, { inFlight }, now);
  }

  #applyRequests(
    hostState: HostState,
    update: CellUpdate,
    now: Milliseconds,
  ): void {
    for (const request of update.withdrawn) this.#withdraw(hostState, request);
    const decided = new Set(
      hostState.unacknowledged.map(({ request }) => request),
    );
    if (update.waiting !== undefined) {
      this.#reconcile(hostState, update.waiting, {
        requests: update.requests,
        decided,
      });
    }
    for (const placementRequest of update.requests) {
      if (
        hostState.waiting.has(placementRequest.request) ||
        decided.has(placementRequest.request)
      ) {
        continue;
      }
      hostState.waiting.add(placementRequest.request);
      const pending = createPendingRequest(
        placementRequest,
        this.#options.stats,
        (decision) =>
          this.#recordDecision(update.host, {
            hostState,
            placementRequest,
            decision,
            now,
          }),
      );
      const { backoffs } = hostState;
      this.#scheduler.enqueue({ ...pending, backoffs }, now);
    }
  }

  /** Reconciles the requests known here with the host's complete list. */
  #reconcile(
    hostState: HostState,
    listed: readonly RequestId[],
    { requests, decided }: {
      requests: readonly PlacementRequest[];
      decided: ReadonlySet<RequestId>;
    },
  ): void {
    const all = new Set(listed);
    for (const request of [...hostState.waiting]) {
      if (!all.has(request)) this.#withdraw(hostState, request);
    }
    const described = new Set(requests.map(({ request }) => request));
    hostState.unknownRequests = listed.filter((request) =>
      !hostState.waiting.has(request) && !decided.has(request) &&
      !described.has(request)
    );
  }

  #recordDecision(
    host: HostId,
    { hostState, placementRequest, decision, now }: {
      hostState: HostState;
      placementRequest: PlacementRequest;
      decision: PlacementDecision;
      now: Milliseconds;
    },
  ): void {
    hostState.waiting.delete(placementRequest.request);
    hostState.shouldReply = true;
    hostState.resendInterval = RESEND_MS;
    hostState.unacknowledged.push({
      number: ++hostState.decisionCount,
      request: placementRequest.request,
      decision: decisionOf(decision),
      promptTokens: placementRequest.promptTokens,
      until: Math.max(now, hostState.lastUpdateAt) + DECISION_LIFETIME_MS,
    });
    if (decision.kind === "place") {
      this.#updateLoad(host, hostState, hostState.lastUpdateAt);
    }
  }

  /**
   * Resends or drops unacknowledged decisions and drops the requests of an
   * unresponsive host.
   */
  #expire(host: HostId, hostState: HostState, now: Milliseconds): void {
    const timeSinceUpdate = now - hostState.lastUpdateAt;
    if (hostState.unacknowledged.length > 0 && now >= hostState.resendAt) {
      hostState.shouldReply = true;
      hostState.resendInterval *= 2;
    }
    if (timeSinceUpdate > HOST_TIMEOUT_MS) this.#withdrawAll(hostState);
    if (timeSinceUpdate > HOST_RETENTION_MS) this.#hosts.delete(host);
    const pending = hostState.unacknowledged.filter(({ until }) => until > now);
    if (pending.length === hostState.unacknowledged.length) return;
    hostState.unacknowledged = pending;
    this.#updateLoad(host, hostState, hostState.lastUpdateAt);
  }

  #withdrawAll(hostState: HostState): void {
    for (const request of [...hostState.waiting]) {
      this.#withdraw(hostState, request);
    }
  }

  #withdraw(hostState: HostState, request: RequestId): void {
    hostState.waiting.delete(request);
    this.#scheduler.withdraw(this.#options.cell.service, request);
  }

  #sendReplies(now: Milliseconds): void {
    let snapshots: readonly CellSnapshot[] | undefined;
    for (const [host, hostState] of this.#hosts) {
      if (!hostState.shouldReply) continue;
      hostState.shouldReply = false;
      hostState.resendAt = now + hostState.resendInterval;
      snapshots ??= [this.snapshot(now), ...this.#options.otherSnapshots()];
      this.#options.send(host, this.#createReply(hostState, snapshots));
    }
  }

  #createReply(
    hostState: HostState,
    snapshots: readonly CellSnapshot[],
  ): CellReply {
    const { host, incarnation, cell, isLeaving } = this.#options;
    return {
      host,
      incarnation,
      cell,
      toIncarnation: hostState.incarnation,
      sequence: hostState.sequence,
      observationsSeen: hostState.observationsSeen,
      decisions: hostState.unacknowledged,
      unknownRequests: hostState.unknownRequests.splice(0),
      snapshots,
      isLeaving: isLeaving(),
    };
  }
}

function decisionOf(decision: PlacementDecision): CellDecision {
  if (decision.kind === "refuse") return decision;
  const { kind, upstream, inFlight, pendingPrefillTokens } = decision;
  return {
    kind,
    upstream: upstream.upstream,
    inFlight,
    pendingPrefillTokens,
  };
}
