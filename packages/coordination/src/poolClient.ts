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

/** What a client of the keepers needs from its process. */
export interface PoolClientOptions {
  readonly blackboard: Blackboard;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly metrics: Metrics;
  readonly members: Topic<readonly PoolMember[]>;
  /** The keeper in this process, reached without the link. */
  readonly localCoordinator: () => PoolCoordinator;
}

interface Waiting {
  readonly ask: PlacementRequest;
  readonly decide: (decision: Decision) => void;
}

interface Running {
  readonly ask: PlacementRequest;
  readonly upstream: UpstreamId;
  readonly grantedAt: Milliseconds;
  hasFirstToken: boolean;
}

interface Pool {
  readonly waiting: Map<RequestId, Waiting>;
  readonly running: Map<RequestId, Running>;
  keeper: PoolMember | undefined;
}

/**
 * Holds this host's waiting and running requests of every pool and talks to
 * the pools' keepers. A keeper may vanish at any moment: its successor gets
 * everything again, and decisions of a former keeper are not followed.
 */
export class PoolClient extends Controller {
  readonly #options: PoolClientOptions;
  readonly #pools = new Map<ServiceId, Pool>();
  readonly #subscriptions: (() => void)[] = [];
  #syncing: TimerSubscription | undefined;

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
      blackboard.watch(members, () => this.#followKeepers()),
    );
    this.#syncing = timer.every(SYNC_PERIOD_MS, () => this.#sync());
  }

  override stop(): void {
    for (const unsubscribe of this.#subscriptions.splice(0)) unsubscribe();
    this.#syncing?.cancel();
  }

  /** Asks for a place; `decide` is called once unless the ask is withdrawn. */
  submit(
    service: ServiceId,
    ask: PlacementRequest,
    { decide }: { decide: (decision: Decision) => void },
  ): void {
    const pool = this.#poolOf(service);
    pool.waiting.set(ask.request, { ask, decide });
    if (pool.keeper === undefined) return;
    if (this.#isLocal(pool)) {
      this.#options.localCoordinator().submit(service, ask);
      return;
    }
    const wire = toWirePlacementRequest(ask, this.#options.timer.now());
    this.#send(pool, POOL_PLACEMENT_REQUEST, { service, ask: wire });
  }

  /** Takes back an ask that still waits; false when it was decided already. */
  withdraw(service: ServiceId, request: RequestId): boolean {
    const pool = this.#poolOf(service);
    if (!pool.waiting.delete(request)) return false;
    const body = { service, request };
    if (this.#isLocal(pool)) this.#options.localCoordinator().withdraw(body);
    else this.#send(pool, POOL_WITHDRAW, body);
    return true;
  }

  /** Tells the keeper that the first token of a request arrived. */
  recordFirstToken(service: ServiceId, request: RequestId): void {
    const pool = this.#poolOf(service);
    const running = pool.running.get(request);
    if (running === undefined || running.hasFirstToken) return;
    running.hasFirstToken = true;
    const body = { service, request };
    if (this.#isLocal(pool)) {
      this.#options.localCoordinator().recordFirstToken(body);
    } else this.#send(pool, POOL_FIRST_TOKEN, body);
  }

  /** Tells the keeper that a granted request ended. */
  finish(service: ServiceId, report: AttemptReport): void {
    const pool = this.#poolOf(service);
    if (!pool.running.delete(report.request)) return;
    this.#tellFinish(pool, service, report);
  }

  /** Counts of this host's requests by pool. */
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
      keeper: pool.keeper?.host,
    }));
  }

  /** Follows a decision of the keeper in this process. */
  applyLocalDecision(service: ServiceId, decision: Decision): void {
    const pool = this.#poolOf(service);
    if (!this.#isLocal(pool)) return;
    this.#follow(service, decision);
  }

  #onDecision(from: HostId, { service, decision }: DecisionMessage): void {
    const pool = this.#poolOf(service);
    if (pool.keeper?.host !== from) {
      this.#options.metrics.count("pool.decision_of_former_keeper");
      return;
    }
    const waiting = pool.waiting.get(decision.request);
    if (waiting !== undefined) {
      const { request: _request, ...rest } = decision;
      this.#follow(service, { ...rest, placementRequest: waiting.ask });
    } else if (decision.kind === "grant") {
      this.#giveBack(pool, service, decision);
    }
  }

  /** A grant for a request that no longer waits frees its place, or the place is lost until the next sync. */
  #giveBack(
    pool: Pool,
    service: ServiceId,
    { request, upstream }: { request: RequestId; upstream: UpstreamId },
  ): void {
    if (pool.running.has(request)) return;
    this.#tellFinish(pool, service, {
      request,
      upstream,
      outcome: "cancelled",
      outputTokens: 0,
    });
  }

  #follow(service: ServiceId, decision: Decision): void {
    const pool = this.#poolOf(service);
    const { request } = decision.placementRequest;
    const waiting = pool.waiting.get(request);
    if (waiting === undefined) {
      if (decision.kind === "grant") {
        this.#giveBack(pool, service, { request, upstream: decision.upstream });
      }
      return;
    }
    pool.waiting.delete(request);
    if (decision.kind === "grant") {
      pool.running.set(request, {
        ask: waiting.ask,
        upstream: decision.upstream,
        grantedAt: this.#options.timer.now(),
        hasFirstToken: false,
      });
    }
    waiting.decide(decision);
  }

  #followKeepers(): void {
    for (const [service, pool] of this.#pools) {
      const keeper = this.#currentKeeper(service);
      const isSame = keeper?.host === pool.keeper?.host &&
        keeper?.incarnation === pool.keeper?.incarnation;
      if (isSame) continue;
      pool.keeper = keeper;
      this.#options.metrics.count("pool.keeper_changed");
      this.#report(pool, service);
    }
  }

  #onReportWanted(from: HostId, service: ServiceId): void {
    const pool = this.#poolOf(service);
    if (pool.keeper?.host === from) this.#report(pool, service);
  }

  #report(pool: Pool, service: ServiceId): void {
    if (pool.keeper === undefined) return;
    const report = this.#reportOf(pool, service);
    if (this.#isLocal(pool)) {
      this.#options.localCoordinator().report(this.#options.link.self, report);
    } else {
      this.#send(pool, POOL_REPORT, report);
    }
  }

  #reportOf(pool: Pool, service: ServiceId): ReportMessage {
    const now = this.#options.timer.now();
    const waiting = [...pool.waiting.values()].map(({ ask }) =>
      toWirePlacementRequest(ask, now)
    );
    const running = [...pool.running.values()].map((attempt) => ({
      ask: toWirePlacementRequest(attempt.ask, now),
      upstream: attempt.upstream,
      runningFor: now - attempt.grantedAt,
      hasFirstToken: attempt.hasFirstToken,
    }));
    return { service, waiting, running };
  }

  #sync(): void {
    for (const [service, pool] of this.#pools) {
      if (pool.keeper === undefined || this.#isLocal(pool)) continue;
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

  #tellFinish(pool: Pool, service: ServiceId, report: AttemptReport): void {
    if (this.#isLocal(pool)) {
      this.#options.localCoordinator().finish(service, report);
    } else this.#send(pool, POOL_FINISH, { service, report });
  }

  #poolOf(service: ServiceId): Pool {
    let pool = this.#pools.get(service);
    if (pool === undefined) {
      pool = {
        waiting: new Map(),
        running: new Map(),
        keeper: this.#currentKeeper(service),
      };
      this.#pools.set(service, pool);
    }
    return pool;
  }

  #currentKeeper(service: ServiceId): PoolMember | undefined {
    const { blackboard, members } = this.#options;
    return coordinatorOf(service, blackboard.read(members));
  }

  #isLocal(pool: Pool): boolean {
    return pool.keeper?.host === this.#options.link.self;
  }

  #send<Body>(pool: Pool, kind: MessageKind<Body>, body: Body): void {
    if (pool.keeper === undefined) return;
    sendMessage(this.#options.link, kind, { to: pool.keeper.host, body });
  }
}
