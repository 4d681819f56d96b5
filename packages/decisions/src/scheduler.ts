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

/** A request that was granted earlier, perhaps by another keeper of the pool. */
export interface InFlightAttempt {
  readonly placementRequest: PlacementRequest;
  readonly upstream: UpstreamId;
  readonly grantedAt: Milliseconds;
  readonly hasFirstToken: boolean;
}

/** How much a scheduler holds, for status and metrics. */
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
 * Decides for one pool of upstreams who starts where and when. It needs no
 * network: every input is a call, every output a {@link Decision}. The time of
 * each call is given and never goes back.
 */
export abstract class Scheduler {
  /** Replaces the policy; waiting and running requests stay. */
  abstract setPolicy(policy: PoolPolicy, now: Milliseconds): Decision[];
  /** Takes a request in; the decision may come at once or from a later call. */
  abstract submit(ask: PlacementRequest, now: Milliseconds): Decision[];
  /** Takes back a waiting request; false when it is not waiting. */
  abstract withdraw(request: RequestId, now: Milliseconds): boolean;
  /** The first token of a granted request arrived. */
  abstract recordFirstToken(request: RequestId, now: Milliseconds): void;
  /** A granted request ended; frees its place. */
  abstract finish(report: AttemptReport, now: Milliseconds): Decision[];
  /** Takes over a request that is running already. */
  abstract adopt(attempt: InFlightAttempt, now: Milliseconds): void;
  /** An origin is gone; its waiting asks are dropped and running ones freed. */
  abstract dropOrigin(origin: HostId, now: Milliseconds): Decision[];
  /** An engine's lagging report. */
  abstract applyLoadReport(report: LoadReport, now: Milliseconds): Decision[];
  /** An engine's late cache event. */
  abstract applyCacheEvent(event: CacheEvent, now: Milliseconds): void;
  /** Share of the pool's capacity that this scheduler may fill, 0 to 1; below 1 in a partition. */
  abstract setCapacityShare(share: number, now: Milliseconds): Decision[];
  /** Deadlines, probes and expiries; call at least every 100 ms. */
  abstract tick(now: Milliseconds): Decision[];
  abstract status(): SchedulerStatus;

  /** Takes in what other keepers hold against request contents. */
  importPoisonRecords(
    _suspicions: readonly PoisonRecord[],
    _now: Milliseconds,
  ): void {}

  /** All that is held against request contents, for a keeper that takes over. */
  exportPoisonRecords(_now: Milliseconds): PoisonRecord[] {
    return [];
  }

  /** What changed since the last call; to be told to the peers at once. */
  drainPoisonRecords(_now: Milliseconds): PoisonRecord[] {
    return [];
  }
}
