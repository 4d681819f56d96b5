import type {
  ClientAccountId,
  HostId,
  Milliseconds,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import type { PoisonRecord } from "./poisonRequestDetector.ts";
import type {
  AttemptReport,
  CacheEvent,
  Decision,
  LoadReport,
  PlacementRequest,
  PoolPolicy,
} from "./types.ts";

/**
 * Describes a granted request, possibly granted by a scheduler on another host.
 */
export interface InFlightAttempt {
  readonly placementRequest: PlacementRequest;
  readonly upstream: UpstreamId;
  readonly grantedAt: Milliseconds;
  readonly hasFirstToken: boolean;
}

/** Holds queue lengths and upstream states for status pages and metrics. */
export interface SchedulerStatus {
  readonly waiting: readonly {
    tier: number;
    account: ClientAccountId;
    requests: number;
  }[];
  readonly upstreams: readonly {
    upstream: UpstreamId;
    inFlight: number;
    bound: number;
    isEjected: boolean;
    isLeaving: boolean;
  }[];
}

/**
 * Decides when and at which upstream of one pool each request starts. It does
 * no I/O: every input is a method call, every output a {@link Decision}. The
 * caller passes the current time, which never decreases.
 */
export abstract class Scheduler {
  /** Replaces the policy; waiting and running requests stay. */
  abstract setPolicy(policy: PoolPolicy, now: Milliseconds): Decision[];
  /** Queues a request; this call or a later one returns its decision. */
  abstract submit(
    placementRequest: PlacementRequest,
    now: Milliseconds,
  ): Decision[];
  /** Removes a waiting request; returns false if it is not waiting. */
  abstract withdraw(request: RequestId, now: Milliseconds): boolean;
  /** Records that the first token of a granted request arrived. */
  abstract recordFirstToken(request: RequestId, now: Milliseconds): void;
  /** Records the end of a granted request and frees its slot. */
  abstract finish(report: AttemptReport, now: Milliseconds): Decision[];
  /** Takes over a request that is already running. */
  abstract adopt(attempt: InFlightAttempt, now: Milliseconds): void;
  /** Removes the waiting and running requests of an entry host that is gone. */
  abstract dropOrigin(origin: HostId, now: Milliseconds): Decision[];
  /** Applies a load report of an engine. */
  abstract applyLoadReport(report: LoadReport, now: Milliseconds): Decision[];
  /** Applies a prefix cache event of an engine. */
  abstract applyCacheEvent(event: CacheEvent, now: Milliseconds): void;
  /**
   * Sets the share of the pool's capacity that this scheduler may use, 0 to 1;
   * it is below 1 during a network partition.
   */
  abstract setCapacityShare(share: number, now: Milliseconds): Decision[];
  /** Handles deadlines and expiries; must be called at least every 100 ms. */
  abstract tick(now: Milliseconds): Decision[];
  /** Returns the current queue lengths and upstream states. */
  abstract status(): SchedulerStatus;

  /** Merges poison records of schedulers on other hosts. */
  importPoisonRecords(
    _records: readonly PoisonRecord[],
    _now: Milliseconds,
  ): void {}

  /** Returns all poison records, for a scheduler that takes over the pool. */
  exportPoisonRecords(_now: Milliseconds): PoisonRecord[] {
    return [];
  }

  /** Returns the poison records that changed since the last call. */
  drainPoisonRecords(_now: Milliseconds): PoisonRecord[] {
    return [];
  }
}
