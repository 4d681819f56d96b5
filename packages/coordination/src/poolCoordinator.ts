import {
  type Blackboard,
  Controller,
  type HostId,
  type Metrics,
  type Milliseconds,
  type PeerLink,
  type RequestId,
  type ServiceId,
  type Timer,
  type TimerSubscription,
  type Topic,
} from "@wasabivane/common";
import type {
  AttemptReport,
  CacheEvent,
  Decision,
  LoadReport,
  PlacementRequest,
  PoolPolicy,
  Scheduler,
} from "@wasabivane/decisions";
import { coordinatorOf, type PoolMember } from "./poolMembers.ts";
import { sendMessage, subscribeMessage } from "./peerMessages.ts";
import {
  checksumOf,
  fromWirePlacementRequest,
  POOL_DECISION,
  POOL_FINISH,
  POOL_FIRST_TOKEN,
  POOL_PLACEMENT_REQUEST,
  POOL_REPORT,
  POOL_REPORT_WANTED,
  POOL_SYNC,
  POOL_WITHDRAW,
  type ReportMessage,
  type RequestMessage,
  type SyncMessage,
  toWireDecision,
  type WirePlacementRequest,
} from "./poolMessages.ts";

const TICK_PERIOD_MS = 50;
/** Maximum time that a new coordinator waits for the members' reports. */
const RECOVERY_MS = 1_000;
/** A scheduler without requests for this time is removed. */
const IDLE_TIMEOUT_MS = 60_000;

/** Dependencies of a {@link PoolCoordinator}. */
export interface PoolCoordinatorOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly members: Topic<readonly PoolMember[]>;
  /** Share of listed hosts that this host can reach, including itself. */
  readonly reachableShare: Topic<number>;
  /** Returns the policy of a service from the bundle in force. */
  readonly policyOf: (service: ServiceId) => PoolPolicy | undefined;
  readonly createScheduler: (
    service: ServiceId,
    policy: PoolPolicy,
  ) => Scheduler;
  /** Receives decisions for requests of this host. */
  readonly onLocalDecision: (service: ServiceId, decision: Decision) => void;
}

interface TrackedRequest {
  readonly origin: HostId;
  decision?: Decision;
}

interface Pool {
  readonly scheduler: Scheduler;
  readonly requests: Map<RequestId, TrackedRequest>;
  readonly reported: Set<HostId>;
  readonly startedAt: Milliseconds;
  isRecovering: boolean;
  usedAt: Milliseconds;
}

/**
 * Runs the schedulers of the pools that this host coordinates.
 *
 * A coordinator serves every host that submits to it, even if its own
 * membership names another coordinator: memberships differ for seconds after a
 * change. Two coordinators of a pool admit at most twice its capacity; in a
 * partition, each one uses only the share of hosts that it can reach.
 */
export class PoolCoordinator extends Controller {
  readonly #options: PoolCoordinatorOptions;
  readonly #pools = new Map<ServiceId, Pool>();
  readonly #subscriptions: (() => void)[] = [];
  #tickTimer: TimerSubscription | undefined;

  constructor(options: PoolCoordinatorOptions) {
    super();
    this.#options = options;
  }

  override start(): void {
    const { blackboard, link, timer, members, reachableShare } = this.#options;
    this.#subscriptions.push(
      subscribeMessage(
        link,
        POOL_PLACEMENT_REQUEST,
        (from, { service, ask }) =>
          this.submit(service, this.#decodePlacementRequest(ask, from)),
      ),
      subscribeMessage(
        link,
        POOL_WITHDRAW,
        (_from, body) => this.withdraw(body),
      ),
      subscribeMessage(
        link,
        POOL_FIRST_TOKEN,
        (_from, body) => this.recordFirstToken(body),
      ),
      subscribeMessage(
        link,
        POOL_FINISH,
        (_from, { service, report }) => this.finish(service, report),
      ),
      subscribeMessage(
        link,
        POOL_REPORT,
        (from, body) => this.report(from, body),
      ),
      subscribeMessage(
        link,
        POOL_SYNC,
        (from, body) => this.#onSync(from, body),
      ),
      blackboard.watch(
        members,
        (value, former) => this.#onMembers(value, former),
      ),
      blackboard.watch(reachableShare, () => this.#applyShares()),
    );
    this.#tickTimer = timer.every(TICK_PERIOD_MS, () => this.#tick());
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    this.#tickTimer?.cancel();
    this.#pools.clear();
  }

  /** Returns the schedulers of the pools that this host coordinates. */
  schedulers(): ReadonlyMap<ServiceId, Scheduler> {
    return new Map(
      [...this.#pools].map(([service, pool]) => [service, pool.scheduler]),
    );
  }

  /** Submits a request to the pool of a service. */
  submit(service: ServiceId, placementRequest: PlacementRequest): void {
    const pool = this.#poolOf(service);
    if (pool === undefined) {
      this.#deliver(service, createRefusal(placementRequest));
      return;
    }
    const known = pool.requests.get(placementRequest.request);
    if (known !== undefined) {
      if (known.decision !== undefined) this.#deliver(service, known.decision);
      return;
    }
    pool.requests.set(placementRequest.request, {
      origin: placementRequest.origin,
    });
    this.#deliverAll(
      service,
      pool.scheduler.submit(placementRequest, this.#now()),
    );
  }

  /** Withdraws a waiting request. */
  withdraw({ service, request }: RequestMessage): void {
    const pool = this.#pools.get(service);
    if (pool?.scheduler.withdraw(request, this.#now())) {
      pool.requests.delete(request);
    }
  }

  /** Records the first token of a running request. */
  recordFirstToken({ service, request }: RequestMessage): void {
    this.#pools.get(service)?.scheduler.recordFirstToken(request, this.#now());
  }

  /** Frees the slot of a finished request. */
  finish(service: ServiceId, report: AttemptReport): void {
    const pool = this.#pools.get(service);
    if (pool === undefined || !pool.requests.delete(report.request)) return;
    this.#deliverAll(service, pool.scheduler.finish(report, this.#now()));
  }

  /** Synchronizes the requests of one origin with its report. */
  report(origin: HostId, report: ReportMessage): void {
    const pool = this.#poolOf(report.service);
    if (pool === undefined) return;
    pool.reported.add(origin);
    this.#adoptRunningRequests(pool, origin, report);
    this.#removeUnreported(pool, origin, report);
    for (const wire of report.waiting) {
      this.submit(report.service, this.#decodePlacementRequest(wire, origin));
    }
    this.#endRecovery(pool, report.service);
  }

  /** Forwards an engine's load report to the scheduler. */
  applyLoadReport(service: ServiceId, report: LoadReport): void {
    const scheduler = this.#pools.get(service)?.scheduler;
    if (scheduler === undefined) return;
    this.#deliverAll(service, scheduler.applyLoadReport(report, this.#now()));
  }

  /** Forwards an engine's cache event to the scheduler. */
  applyCacheEvent(service: ServiceId, event: CacheEvent): void {
    this.#pools.get(service)?.scheduler.applyCacheEvent(event, this.#now());
  }

  #onSync(from: HostId, body: SyncMessage): void {
    const pool = this.#poolOf(body.service);
    if (pool === undefined) return;
    const requests = [...pool.requests].filter(([, { origin }]) =>
      origin === from
    );
    const isSame = requests.length === body.waiting + body.running &&
      checksumOf(requests.map(([request]) => request)) === body.checksum;
    if (isSame) return;
    this.#options.metrics.count("pool.resync");
    sendMessage(this.#options.link, POOL_REPORT_WANTED, {
      to: from,
      body: { service: body.service },
    });
  }

  #adoptRunningRequests(
    pool: Pool,
    origin: HostId,
    { running }: ReportMessage,
  ): void {
    const now = this.#now();
    for (const { ask: wire, upstream, runningFor, hasFirstToken } of running) {
      if (pool.requests.get(wire.request)?.decision !== undefined) continue;
      pool.scheduler.withdraw(wire.request, now);
      const placementRequest = this.#decodePlacementRequest(wire, origin);
      const decision: Decision = {
        kind: "grant",
        placementRequest,
        upstream,
        expectedCachedTokens: 0,
      };
      pool.requests.set(wire.request, { origin, decision });
      pool.scheduler.adopt({
        placementRequest,
        upstream,
        grantedAt: now - runningFor,
        hasFirstToken,
      }, now);
    }
  }

  #removeUnreported(pool: Pool, origin: HostId, report: ReportMessage): void {
    const reported = new Set([
      ...report.waiting.map(({ request }) => request),
      ...report.running.map(({ ask }) => ask.request),
    ]);
    for (const [request, tracked] of [...pool.requests]) {
      if (tracked.origin !== origin || reported.has(request)) continue;
      if (tracked.decision?.kind === "grant") {
        this.finish(report.service, createCancelledReport(tracked.decision));
      } else {
        this.withdraw({ service: report.service, request });
        pool.requests.delete(request);
      }
    }
  }

  #onMembers(
    members: readonly PoolMember[],
    former: readonly PoolMember[],
  ): void {
    const alive = new Map(
      members.filter(({ state }) => state !== "dead").map((
        member,
      ) => [member.host, member]),
    );
    for (const { host, incarnation } of former) {
      if (alive.get(host)?.incarnation !== incarnation) {
        this.#removeOrigin(host);
      }
    }
    for (const [service, pool] of this.#pools) this.#endRecovery(pool, service);
  }

  #removeOrigin(host: HostId): void {
    for (const [service, pool] of this.#pools) {
      for (const [request, { origin }] of pool.requests) {
        if (origin === host) pool.requests.delete(request);
      }
      pool.reported.delete(host);
      this.#deliverAll(service, pool.scheduler.dropOrigin(host, this.#now()));
    }
  }

  #poolOf(service: ServiceId): Pool | undefined {
    const now = this.#now();
    let pool = this.#pools.get(service);
    if (pool === undefined) {
      const policy = this.#options.policyOf(service);
      if (policy === undefined) return undefined;
      pool = {
        scheduler: this.#options.createScheduler(service, policy),
        requests: new Map(),
        reported: new Set(),
        startedAt: now,
        isRecovering: true,
        usedAt: now,
      };
      this.#pools.set(service, pool);
      pool.scheduler.setCapacityShare(0, now);
      this.#options.metrics.count("pool.keeper_started");
      this.#requestReports(service);
      this.#endRecovery(pool, service);
    }
    pool.usedAt = now;
    return pool;
  }

  /**
   * Ends recovery once every alive member has reported or the recovery time is
   * over. Granting earlier would ignore running requests and overload the
   * upstreams.
   */
  #endRecovery(pool: Pool, service: ServiceId): void {
    if (!pool.isRecovering) return;
    const { blackboard, members, link } = this.#options;
    const haveAllReported = blackboard.read(members)
      .filter(({ state, host }) => state === "alive" && host !== link.self)
      .every(({ host }) => pool.reported.has(host));
    const hasTimedOut = this.#now() - pool.startedAt >= RECOVERY_MS;
    if (!haveAllReported && !hasTimedOut) return;
    pool.isRecovering = false;
    this.#applyShare(pool, service);
  }

  /**
   * Requests reports from all members, including those that have not used the
   * pool.
   */
  #requestReports(service: ServiceId): void {
    const { blackboard, members, link } = this.#options;
    for (const { host, state } of blackboard.read(members)) {
      if (host === link.self || state === "dead") continue;
      sendMessage(link, POOL_REPORT_WANTED, { to: host, body: { service } });
    }
  }

  #applyShares(): void {
    for (const [service, pool] of this.#pools) this.#applyShare(pool, service);
  }

  #applyShare(pool: Pool, service: ServiceId): void {
    if (pool.isRecovering) return;
    const share = this.#options.blackboard.read(this.#options.reachableShare);
    this.#deliverAll(
      service,
      pool.scheduler.setCapacityShare(share, this.#now()),
    );
  }

  /** Applies the policies of a new bundle to running pools. */
  refreshPolicies(): void {
    for (const [service, pool] of this.#pools) {
      const policy = this.#options.policyOf(service);
      if (policy === undefined) continue;
      this.#deliverAll(service, pool.scheduler.setPolicy(policy, this.#now()));
    }
  }

  #tick(): void {
    const now = this.#now();
    for (const [service, pool] of this.#pools) {
      this.#endRecovery(pool, service);
      this.#deliverAll(service, pool.scheduler.tick(now));
      if (this.#isUnused(pool, service)) this.#pools.delete(service);
    }
  }

  #isUnused(pool: Pool, service: ServiceId): boolean {
    const { blackboard, members, link } = this.#options;
    if (pool.requests.size > 0) return false;
    if (coordinatorOf(service, blackboard.read(members))?.host === link.self) {
      return false;
    }
    return this.#now() - pool.usedAt > IDLE_TIMEOUT_MS;
  }

  #deliverAll(service: ServiceId, decisions: readonly Decision[]): void {
    for (const decision of decisions) this.#deliver(service, decision);
  }

  #deliver(service: ServiceId, decision: Decision): void {
    const { link, onLocalDecision } = this.#options;
    const requests = this.#pools.get(service)?.requests;
    const tracked = requests?.get(decision.placementRequest.request);
    if (decision.kind === "refuse") {
      requests?.delete(decision.placementRequest.request);
    } else if (tracked !== undefined) tracked.decision = decision;
    if (decision.placementRequest.origin === link.self) {
      onLocalDecision(service, decision);
      return;
    }
    sendMessage(link, POOL_DECISION, {
      to: decision.placementRequest.origin,
      body: { service, decision: toWireDecision(decision) },
    });
  }

  #decodePlacementRequest(
    wire: WirePlacementRequest,
    origin: HostId,
  ): PlacementRequest {
    return fromWirePlacementRequest(wire, { origin, now: this.#now() });
  }

  #now(): Milliseconds {
    return this.#options.timer.now();
  }
}

function createRefusal(placementRequest: PlacementRequest): Decision {
  return {
    kind: "refuse",
    placementRequest,
    reason: "no-upstream",
    retryAfter: RECOVERY_MS,
  };
}

function createCancelledReport(
  { placementRequest, upstream }: Extract<Decision, { kind: "grant" }>,
): AttemptReport {
  return {
    request: placementRequest.request,
    upstream,
    outcome: "cancelled",
    outputTokens: 0,
  };
}
