/**
 * Messages between hosts and cell coordinators; times are on the clock of the
 * host that reads them.
 */
import type {
  HostId,
  Incarnation,
  Milliseconds,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import type { Cell } from "./cells.ts";
import type { UpstreamLoad } from "./fleetLoad.ts";
import type { PlacementRefusal } from "./requestScheduler.ts";
import type { PlacementRequest } from "./placementRequest.ts";
import type { QueueEstimate } from "./queueEstimator.ts";
import type { UpstreamBackoff } from "./upstreamBackoffs.ts";
import type { AttemptObservation } from "./upstreamStats.ts";

/** What an upstream reports of itself in a response. */
export interface UpstreamReport {
  /** Requests that run or wait there; `undefined` if not reported. */
  readonly requests: number | undefined;
  /**
   * Requests per second that it takes from all hosts together; `undefined` if it
   * names no limit.
   */
  readonly startsPerSecond: number | undefined;
  /**
   * Requests that it can turn away in a second without failing; absent if it
   * names no number.
   */
  readonly rejectionsPerSecond?: number;
  /**
   * How long work takes there at the moment, as a multiple of the usual time;
   * absent if it does not say.
   */
  readonly slowdown?: number;
}

/**
 * Update of a host for the coordinator of a cell: its load there, its new,
 * waiting and withdrawn requests, and its observations. Everything is repeated
 * until the coordinator acknowledges it, so lost updates do no harm.
 */
export interface CellUpdate {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly cell: Cell;
  /** Increases with each update of one incarnation. */
  readonly sequence: number;
  /** The host's load at the upstreams of the cell. */
  readonly inFlight: ReadonlyMap<UpstreamId, UpstreamLoad>;
  /** Waiting requests that the coordinator may not know yet. */
  readonly requests: readonly PlacementRequest[];
  /** Requests that no longer wait, although the coordinator may assume so. */
  readonly withdrawn: readonly RequestId[];
  /** All waiting requests of the host; included from time to time. */
  readonly waiting?: readonly RequestId[];
  /** Upstreams of the cell that the host backs off from or fails to reach. */
  readonly backoffs: readonly UpstreamBackoff[];
  /** What upstreams reported in their latest responses. */
  readonly reports: readonly (readonly [UpstreamId, UpstreamReport])[];
  /**
   * Results of ended attempts, oldest first; the first has the number
   * `firstObservation`.
   */
  readonly observations: readonly AttemptObservation[];
  readonly firstObservation: number;
  /** Number of the last decision that the host has received; 0 before any. */
  readonly decisionsSeen: number;
  readonly wantsReply: boolean;
  /** Mean reply time of the coordinator; 0 before any reply. */
  readonly replyTime: Milliseconds;
}

/** Decision of a coordinator about one request. */
export type CellDecision =
  | {
    readonly kind: "place";
    readonly upstream: UpstreamId;
    readonly inFlight: number;
    readonly pendingPrefillTokens: number;
  }
  | {
    readonly kind: "refuse";
    readonly reason: PlacementRefusal;
    readonly estimate: QueueEstimate;
    /** Present if it would have started in time without shares of accounts. */
    readonly by?: "share";
  };

/** A numbered decision; resent until the host acknowledges it. */
export interface NumberedDecision {
  readonly number: number;
  readonly request: RequestId;
  readonly decision: CellDecision;
}

/** Capacity and queue length of a cell at one time. */
export interface CellSnapshot {
  readonly cell: Cell;
  readonly capacity: number;
  readonly free: number;
  readonly waiting: number;
  readonly at: Milliseconds;
}

/** Reply of a coordinator to a host. */
export interface CellReply {
  /** Host of the coordinator. */
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly cell: Cell;
  /**
   * Incarnation of the host that this replies to, and sequence of its update.
   */
  readonly toIncarnation: Incarnation;
  readonly sequence: number;
  /** Number of the last observation that the coordinator has received. */
  readonly observationsSeen: number;
  readonly decisions: readonly NumberedDecision[];
  /** Requests that the host listed and that the coordinator does not know. */
  readonly unknownRequests: readonly RequestId[];
  /** The cell itself and other cells of its service. */
  readonly snapshots: readonly CellSnapshot[];
  /**
   * Whether the coordinator stops soon, so that hosts must turn to another one.
   */
  readonly isLeaving: boolean;
}
