/** What hosts and the keepers of cells tell each other; times are on the reader's own clock. */
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
import type { QueueEstimate } from "./requestQueue.ts";
import type { AttemptObservation } from "./upstreamStats.ts";

/**
 * What a host has to say to the keeper of a cell: its work there, what began and ceased
 * to wait, and what it learned. All of it is repeated until the keeper has answered, so
 * that a lost ask does no harm.
 */
export interface CellUpdate {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly cell: Cell;
  /** Grows with each ask of one incarnation. */
  readonly sequence: number;
  /** The host's work at the cell's upstreams. */
  readonly inFlight: ReadonlyMap<UpstreamId, UpstreamLoad>;
  /** Requests that wait there and of which the keeper may not know. */
  readonly requests: readonly PlacementRequest[];
  /** Requests that wait there no more, although the keeper may think so. */
  readonly withdrawn: readonly RequestId[];
  /** Now and then: all requests of the host that wait there. */
  readonly waiting?: readonly RequestId[];
  /** What upstreams said a moment ago of all requests that they had. */
  readonly reports: readonly (readonly [UpstreamId, number])[];
  /** What ended attempts showed, oldest first; the first has number `observationsFrom`. */
  readonly observations: readonly AttemptObservation[];
  readonly firstObservation: number;
  /** Number of the last verdict of this keeper that the host took in; 0 before any. */
  readonly decisionsSeen: number;
  readonly wantsReply: boolean;
  /** What answers of the keeper take lately, on the mean; 0 before any. */
  readonly replyTime: Milliseconds;
}

/** What a keeper decided about one wish. */
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
  };

/** A numbered decision; the keeper repeats it until the host has seen it. */
export interface NumberedDecision {
  readonly number: number;
  readonly request: RequestId;
  readonly decision: CellDecision;
}

/** How full a cell was when its keeper looked last. */
export interface CellSnapshot {
  readonly cell: Cell;
  readonly capacity: number;
  readonly free: number;
  readonly waiting: number;
  readonly at: Milliseconds;
}

/** What a keeper tells a host. */
export interface CellReply {
  /** The keeper. */
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly cell: Cell;
  /** Incarnation and ask of the host that this answers. */
  readonly toIncarnation: Incarnation;
  readonly sequence: number;
  /** Number of the last observation that the keeper took in. */
  readonly observationsSeen: number;
  readonly decisions: readonly NumberedDecision[];
  /** Requests that the host says wait and that the keeper does not know. */
  readonly unknownRequests: readonly RequestId[];
  /** The cell itself, and others of its service that the keeper knows of. */
  readonly snapshots: readonly CellSnapshot[];
  /** The keeper stops soon; hosts turn to the next one. */
  readonly isLeaving: boolean;
}
