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
  type UpstreamId,
} from "@wasabivane/common";
import type {
  AttemptReport,
  Decision,
  PlacementRequest,
} from "@wasabivane/decisions";
import type { PoolCoordinator } from "./poolCoordinator.ts";
import { coordinatorOf, type PoolMember } from "./poolMembers.ts";
import {
  type MessageKind,
  sendMessage,
  subscribeMessage,
} from "./peerMessages.ts";
import {
  checksumOf,
  type DecisionMessage,
  POOL_DECISION,
  POOL_FINISH,
  POOL_FIRST_TOKEN,
  POOL_PLACEMENT_REQUEST,
  POOL_REPORT,
  POOL_REPORT_WANTED,
  POOL_SYNC,
  POOL_WITHDRAW,
  type ReportMessage,
  toWirePlacementRequest,
} from "./poolMessages.ts";

const SYNC_PERIOD_MS = 1_000;

/** Dependencies of a {@link PoolClient}. */
export interface PoolClientOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly members: Topic<readonly PoolMember[]>;
  /** Returns the coordinator in this process, which is called directly. */
  readonly localCoordinator: () => PoolCoordinator;
}

interface Waiting {
  readonly placementRequest: PlacementRequest;
  readonly decide: (decision: Decision) => void;
}

interface Running {
  readonly placementRequest: PlacementRequest;
  readonly upstream: UpstreamId;
  readonly grantedAt: Milliseconds;
  hasFirstToken: boolean;
}

interface Pool {
  readonly waiting: Map<RequestId, Waiting>;
  readonly running: Map<RequestId, Running>;
  coordinator: PoolMember | undefined;
}

/**
 * Holds this host's waiting and running requests of every pool and sends them
 * to the pools' coordinators. When the coordinator changes, everything is
 * reported to the new one, and decisions of the former one are ignored.
 */
export class PoolClient extends Controller {
  readonly #options: PoolClientOptions;
  readonly #pools = new Map<ServiceId, Pool>();
  readonly #subscriptions: (() => void)[] = [];
  #syncTimer: TimerSubscription | undefined;

  constructor(options: PoolClientOptions) {
    super();
    this.#options = options;
  }

  override start(): void {
    const { blackboard, link, timer, members } = this.#options;
    this.#subscriptions.push(
      subscribeMessage(
        link,
        POOL_DECISION,
        (from, body) => this.#onDecision(from, body),
      ),
      subscribeMessage(
        link,
        POOL_REPORT_WANTED,
        (from, { service }) => this.#onReportWanted(from, service),
      ),
      blackboard.watch(members, () => this.#updateCoordinators()),
    );
    this.#syncTimer = timer.every(SYNC_PERIOD_MS, () => this.#sync());
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    this.#syncTimer?.cancel();
  }

  /**
   * Submits a request; `decide` is called once unless the request is withdrawn.
   */
  submit(
    service: ServiceId,
    placementRequest: PlacementRequest,
    { decide }: { decide: (decision: Decision) => void },
  ): void {
    const pool = this.#poolOf(service);
    pool.waiting.set(placementRequest.request, { placementRequest, decide });
    if (pool.coordinator === undefined) return;
    if (this.#isCoordinatorLocal(pool)) {
      this.#options.localCoordinator().submit(service, placementRequest);
      return;
    }
    const wire = toWirePlacementRequest(
      placementRequest,
      this.#options.timer.now(),
    );
    this.#send(pool, POOL_PLACEMENT_REQUEST, { service, ask: wire });
  }

  /** Withdraws a waiting request; false if it was already decided. */
  withdraw(service: ServiceId, request: RequestId): boolean {
    const pool = this.#poolOf(service);
    if (!pool.waiting.delete(request)) return false;
    const body = { service, request };
    if (this.#isCoordinatorLocal(pool)) {
      this.#options.localCoordinator().withdraw(body);
    } else this.#send(pool, POOL_WITHDRAW, body);
    return true;
  }

  /** Reports the first token of a request to the coordinator. */
  recordFirstToken(service: ServiceId, request: RequestId): void {
    const pool = this.#poolOf(service);
    const running = pool.running.get(request);
    if (running === undefined || running.hasFirstToken) return;
    running.hasFirstToken = true;
    const body = { service, request };
    if (this.#isCoordinatorLocal(pool)) {
      this.#options.localCoordinator().recordFirstToken(body);
    } else this.#send(pool, POOL_FIRST_TOKEN, body);
  }

  /** Reports the end of a granted request to the coordinator. */
  finish(service: ServiceId, report: AttemptReport): void {
    const pool = this.#poolOf(service);
    if (!pool.running.delete(report.request)) return;
    this.#reportFinish(pool, service, report);
  }

  /** Returns this host's request counts by pool. */
  status(): {
    service: ServiceId;
    waiting: number;
    running: number;
    keeper: HostId | undefined;
  }[] {
    return [...this.#pools].map(([service, pool]) => ({
      service,
      waiting: pool.waiting.size,
      running: pool.running.size,
      keeper: pool.coordinator?.host,
    }));
  }

  /** Applies a decision of the coordinator in this process. */
  applyLocalDecision(service: ServiceId, decision: Decision): void {
    const pool = this.#poolOf(service);
    if (!this.#isCoordinatorLocal(pool)) return;
    this.#applyDecision(service, decision);
  }

  #onDecision(from: HostId, { service, decision }: DecisionMessage): void {
    const pool = this.#poolOf(service);
    if (pool.coordinator?.host !== from) {
      this.#options.metrics.count("pool.decision_of_former_keeper");
      return;
    }
    const waiting = pool.waiting.get(decision.request);
    if (waiting !== undefined) {
      const { request: _request, ...rest } = decision;
      this.#applyDecision(service, {
        ...rest,
        placementRequest: waiting.placementRequest,
      });
    } else if (decision.kind === "grant") {
      this.#returnGrant(pool, service, decision);
    }
  }

  /**
   * Returns a grant for a request that no longer waits; otherwise its slot
   * stays occupied until the next sync.
   */
  #returnGrant(
    pool: Pool,
    service: ServiceId,
    { request, upstream }: { request: RequestId; upstream: UpstreamId },
  ): void {
    if (pool.running.has(request)) return;
    this.#reportFinish(pool, service, {
      request,
      upstream,
      outcome: "cancelled",
      outputTokens: 0,
    });
  }

  #applyDecision(service: ServiceId, decision: Decision): void {
    const pool = this.#poolOf(service);
    const { request } = decision.placementRequest;
    const waiting = pool.waiting.get(request);
    if (waiting === undefined) {
      if (decision.kind === "grant") {
        this.#returnGrant(pool, service, {
          request,
          upstream: decision.upstream,
        });
      }
      return;
    }
    pool.waiting.delete(request);
    if (decision.kind === "grant") {
      pool.running.set(request, {
        placementRequest: waiting.placementRequest,
        upstream: decision.upstream,
        grantedAt: this.#options.timer.now(),
        hasFirstToken: false,
      });
    }
    waiting.decide(decision);
  }

  #updateCoordinators(): void {
    for (const [service, pool] of this.#pools) {
      const coordinator = this.#currentCoordinator(service);
      const isSame = coordinator?.host === pool.coordinator?.host &&
        coordinator?.incarnation === pool.coordinator?.incarnation;
      if (isSame) continue;
      pool.coordinator = coordinator;
      this.#options.metrics.count("pool.keeper_changed");
      this.#report(pool, service);
    }
  }

  #onReportWanted(from: HostId, service: ServiceId): void {
    const pool = this.#poolOf(service);
    if (pool.coordinator?.host === from) this.#report(pool, service);
  }

  #report(pool: Pool, service: ServiceId): void {
    if (pool.coordinator === undefined) return;
    const report = this.#createReport(pool, service);
    if (this.#isCoordinatorLocal(pool)) {
      this.#options.localCoordinator().report(this.#options.link.self, report);
    } else {
      this.#send(pool, POOL_REPORT, report);
    }
  }

  #createReport(pool: Pool, service: ServiceId): ReportMessage {
    const now = this.#options.timer.now();
    const waiting = [...pool.waiting.values()].map(({ placementRequest }) =>
      toWirePlacementRequest(placementRequest, now)
    );
    const running = [...pool.running.values()].map((attempt) => ({
      ask: toWirePlacementRequest(attempt.placementRequest, now),
      upstream: attempt.upstream,
      runningFor: now - attempt.grantedAt,
      hasFirstToken: attempt.hasFirstToken,
    }));
    return { service, waiting, running };
  }

  #sync(): void {
    for (const [service, pool] of this.#pools) {
      if (pool.coordinator === undefined || this.#isCoordinatorLocal(pool)) {
        continue;
      }
      const requests = [...pool.waiting.keys(), ...pool.running.keys()];
      const body = {
        service,
        waiting: pool.waiting.size,
        running: pool.running.size,
        checksum: checksumOf(requests),
      };
      this.#send(pool, POOL_SYNC, body);
    }
  }

  #reportFinish(pool: Pool, service: ServiceId, report: AttemptReport): void {
    if (this.#isCoordinatorLocal(pool)) {
      this.#options.localCoordinator().finish(service, report);
    } else this.#send(pool, POOL_FINISH, { service, report });
  }

  #poolOf(service: ServiceId): Pool {
    let pool = this.#pools.get(service);
    if (pool === undefined) {
      pool = {
        waiting: new Map(),
        running: new Map(),
        coordinator: this.#currentCoordinator(service),
      };
      this.#pools.set(service, pool);
    }
    return pool;
  }

  #currentCoordinator(service: ServiceId): PoolMember | undefined {
    const { blackboard, members } = this.#options;
    return coordinatorOf(service, blackboard.read(members));
  }

  #isCoordinatorLocal(pool: Pool): boolean {
    return pool.coordinator?.host === this.#options.link.self;
  }

  #send<Body>(pool: Pool, kind: MessageKind<Body>, body: Body): void {
    if (pool.coordinator === undefined) return;
    sendMessage(this.#options.link, kind, { to: pool.coordinator.host, body });
  }
}
