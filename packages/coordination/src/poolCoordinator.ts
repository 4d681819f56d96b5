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
/** Longest wait of a new keeper for the members' reports; one heartbeat timeout is plenty. */
const RECOVERY_MS = 1_000;
/** A scheduler that nobody asked for so long is dropped. */
const IDLE_MS = 60_000;

/** What a keeper needs from its process. */
export interface PoolCoordinatorOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly members: Topic<readonly PoolMember[]>;
  /** Share of the listed hosts that this one hears, itself included. */
  readonly reachableShare: Topic<number>;
  /** Policy of a service under the bundle in force. */
  readonly policyOf: (service: ServiceId) => PoolPolicy | undefined;
  readonly createScheduler: (
    service: ServiceId,
    policy: PoolPolicy,
  ) => Scheduler;
  /** Takes decisions for requests of this host. */
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
 * Runs the schedulers of the pools that other entries ask this host to keep.
 *
 * A keeper serves whoever asks it, also when its own view names another host:
 * views differ for seconds after a change, and a refusal would only make
 * callers wait. Two keepers then over-admit by at most a factor of two, and
 * in a partition each fills only the share of hosts that it hears.
 */
export class PoolCoordinator extends Controller {
  readonly #options: PoolCoordinatorOptions;
  readonly #pools = new Map<ServiceId, Pool>();
  readonly #subscriptions: (() => void)[] = [];
  #ticking: TimerSubscription | undefined;

  constructor(options: PoolCoordinatorOptions) {
    super();
    this.#options = options;
  }

  override start(): void {
    const { blackboard, link, timer, members, reachableShare: fleetShare } =
      this.#options;
    this.#subscriptions.push(
      subscribeMessage(
        link,
        POOL_PLACEMENT_REQUEST,
        (from, { service, ask }) =>
          this.submit(service, this.#askOf(ask, from)),
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
      blackboard.watch(fleetShare, () => this.#applyShares()),
    );
    this.#ticking = timer.every(TICK_PERIOD_MS, () => this.#tick());
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    this.#ticking?.cancel();
    this.#pools.clear();
  }

  /** Services whose pools this host keeps now, with their schedulers. */
  schedulers(): ReadonlyMap<ServiceId, Scheduler> {
    return new Map(
      [...this.#pools].map(([service, pool]) => [service, pool.scheduler]),
    );
  }

  /** Takes a request of the given origin into the pool of a service. */
  submit(service: ServiceId, ask: PlacementRequest): void {
    const pool = this.#poolOf(service);
    if (pool === undefined) {
      this.#deliver(service, refusalOf(ask));
      return;
    }
    const known = pool.requests.get(ask.request);
    if (known !== undefined) {
      if (known.decision !== undefined) this.#deliver(service, known.decision);
      return;
    }
    pool.requests.set(ask.request, { origin: ask.origin });
    this.#deliverAll(service, pool.scheduler.submit(ask, this.#now()));
  }

  /** Takes back a request that still waits. */
  withdraw({ service, request }: RequestMessage): void {
    const pool = this.#pools.get(service);
    if (pool?.scheduler.withdraw(request, this.#now())) {
      pool.requests.delete(request);
    }
  }

  /** Notes the first token of a running request. */
  recordFirstToken({ service, request }: RequestMessage): void {
    this.#pools.get(service)?.scheduler.recordFirstToken(request, this.#now());
  }

  /** Frees the place of a request that ended. */
  finish(service: ServiceId, report: AttemptReport): void {
    const pool = this.#pools.get(service);
    if (pool === undefined || !pool.requests.delete(report.request)) return;
    this.#deliverAll(service, pool.scheduler.finish(report, this.#now()));
  }

  /** Makes the pool's picture of one origin equal to what the origin says of itself. */
  report(origin: HostId, report: ReportMessage): void {
    const pool = this.#poolOf(report.service);
    if (pool === undefined) return;
    pool.reported.add(origin);
    this.#adoptRunning(pool, origin, report);
    this.#dropUnreported(pool, origin, report);
    for (const wire of report.waiting) {
      this.submit(report.service, this.#askOf(wire, origin));
    }
    this.#endRecovery(pool, report.service);
  }

  /** Passes on an engine's load report. */
  applyLoadReport(service: ServiceId, report: LoadReport): void {
    const scheduler = this.#pools.get(service)?.scheduler;
    if (scheduler === undefined) return;
    this.#deliverAll(service, scheduler.applyLoadReport(report, this.#now()));
  }

  /** Passes on an engine's cache event. */
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

  #adoptRunning(pool: Pool, origin: HostId, { running }: ReportMessage): void {
    const now = this.#now();
    for (const { ask: wire, upstream, runningFor, hasFirstToken } of running) {
      if (pool.requests.get(wire.request)?.decision !== undefined) continue;
      pool.scheduler.withdraw(wire.request, now);
      const ask = this.#askOf(wire, origin);
      const decision: Decision = {
        kind: "grant",
        placementRequest: ask,
        upstream,
        expectedCachedTokens: 0,
      };
      pool.requests.set(wire.request, { origin, decision });
      pool.scheduler.adopt({
        placementRequest: ask,
        upstream,
        grantedAt: now - runningFor,
        hasFirstToken,
      }, now);
    }
  }

  #dropUnreported(pool: Pool, origin: HostId, report: ReportMessage): void {
    const reported = new Set([
      ...report.waiting.map(({ request }) => request),
      ...report.running.map(({ ask }) => ask.request),
    ]);
    for (const [request, tracked] of [...pool.requests]) {
      if (tracked.origin !== origin || reported.has(request)) continue;
      if (tracked.decision?.kind === "grant") {
        this.finish(report.service, cancelledAttempt(tracked.decision));
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
      if (alive.get(host)?.incarnation !== incarnation) this.#dropOrigin(host);
    }
    for (const [service, pool] of this.#pools) this.#endRecovery(pool, service);
  }

  #dropOrigin(host: HostId): void {
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
      this.#askForReports(service);
      this.#endRecovery(pool, service);
    }
    pool.usedAt = now;
    return pool;
  }

  /**
   * A new keeper knows nothing of what runs already. Granting at once would
   * fill every upstream a second time; it waits until each member that is
   * alive has reported, and no longer than a dead one takes to be noticed.
   */
  #endRecovery(pool: Pool, service: ServiceId): void {
    if (!pool.isRecovering) return;
    const { blackboard, members, link } = this.#options;
    const hasAll = blackboard.read(members)
      .filter(({ state, host }) => state === "alive" && host !== link.self)
      .every(({ host }) => pool.reported.has(host));
    const isOver = this.#now() - pool.startedAt >= RECOVERY_MS;
    if (!hasAll && !isOver) return;
    pool.isRecovering = false;
    this.#applyShare(pool, service);
  }

  /** Members that never used the pool would not report by themselves. */
  #askForReports(service: ServiceId): void {
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

  /** Applies the policies of a new bundle to the pools that run. */
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
      if (this.#isAbandoned(pool, service)) this.#pools.delete(service);
    }
  }

  #isAbandoned(pool: Pool, service: ServiceId): boolean {
    const { blackboard, members, link } = this.#options;
    if (pool.requests.size > 0) return false;
    if (coordinatorOf(service, blackboard.read(members))?.host === link.self) {
      return false;
    }
    return this.#now() - pool.usedAt > IDLE_MS;
  }

  #deliverAll(service: ServiceId, decisions: readonly Decision[]): void {
    for (const decision of decisions) this.#deliver(service, decision);
  }

  #deliver(service: ServiceId, decision: Decision): void {
    const { link, onLocalDecision: decideLocally } = this.#options;
    const requests = this.#pools.get(service)?.requests;
    const tracked = requests?.get(decision.placementRequest.request);
    if (decision.kind === "refuse") {
      requests?.delete(decision.placementRequest.request);
    } else if (tracked !== undefined) tracked.decision = decision;
    if (decision.placementRequest.origin === link.self) {
      decideLocally(service, decision);
      return;
    }
    sendMessage(link, POOL_DECISION, {
      to: decision.placementRequest.origin,
      body: { service, decision: toWireDecision(decision) },
    });
  }

  #askOf(wire: WirePlacementRequest, origin: HostId): PlacementRequest {
    return fromWirePlacementRequest(wire, { origin, now: this.#now() });
  }

  #now(): Milliseconds {
    return this.#options.timer.now();
  }
}

function refusalOf(ask: PlacementRequest): Decision {
  return {
    kind: "refuse",
    placementRequest: ask,
    reason: "no-upstream",
    retryAfter: RECOVERY_MS,
  };
}

function cancelledAttempt(
  { placementRequest: ask, upstream }: Extract<Decision, { kind: "grant" }>,
): AttemptReport {
  return {
    request: ask.request,
    upstream,
    outcome: "cancelled",
    outputTokens: 0,
  };
}
