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
import type { PlaceRefusal } from "./placeScheduler.ts";
import type { PlaceWish } from "./placeWish.ts";
import type { Outlook } from "./waitingLine.ts";
import type { AttemptObservation } from "./upstreamKnowledge.ts";

/**
 * What a host has to say to the keeper of a cell: its work there, what began and ceased
 * to wait, and what it learned. All of it is repeated until the keeper has answered, so
 * that a lost ask does no harm.
 */
export interface PlaceAsk {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly cell: Cell;
  /** Grows with each ask of one incarnation. */
  readonly sequence: number;
  /** The host's work at the cell's upstreams. */
  readonly inFlight: ReadonlyMap<UpstreamId, UpstreamLoad>;
  /** Requests that wait there and of which the keeper may not know. */
  readonly wishes: readonly PlaceWish[];
  /** Requests that wait there no more, although the keeper may think so. */
  readonly withdrawn: readonly RequestId[];
  /** Now and then: all requests of the host that wait there. */
  readonly waiting?: readonly RequestId[];
  /** What upstreams said a moment ago of all requests that they had. */
  readonly reports: readonly (readonly [UpstreamId, number])[];
  /** What ended attempts showed, oldest first; the first has number `observationsFrom`. */
  readonly observations: readonly AttemptObservation[];
  readonly observationsFrom: number;
  /** Number of the last verdict of this keeper that the host took in; 0 before any. */
  readonly verdictsSeen: number;
  readonly wantsAnswer: boolean;
  /** What answers of the keeper take lately, on the mean; 0 before any. */
  readonly answerTime: Milliseconds;
}

/** What a keeper decided about one wish. */
export type PlaceDecision =
  | {
    readonly kind: "place";
    readonly upstream: UpstreamId;
    readonly inFlight: number;
    readonly unreadTokens: number;
  }
  | {
    readonly kind: "refuse";
    readonly reason: PlaceRefusal;
    readonly outlook: Outlook;
  };

/** A numbered decision; the keeper repeats it until the host has seen it. */
export interface PlaceVerdict {
  readonly number: number;
  readonly request: RequestId;
  readonly decision: PlaceDecision;
}

/** How full a cell was when its keeper looked last. */
export interface CellSnapshot {
  readonly cell: Cell;
  readonly places: number;
  readonly free: number;
  readonly waiting: number;
  readonly at: Milliseconds;
}

/** What a keeper tells a host. */
export interface PlaceAnswer {
  /** The keeper. */
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly cell: Cell;
  /** Incarnation and ask of the host that this answers. */
  readonly to: Incarnation;
  readonly sequence: number;
  /** Number of the last observation that the keeper took in. */
  readonly observationsSeen: number;
  readonly verdicts: readonly PlaceVerdict[];
  /** Requests that the host says wait and that the keeper does not know. */
  readonly unknown: readonly RequestId[];
  /** The cell itself, and others of its service that the keeper knows of. */
  readonly snapshots: readonly CellSnapshot[];
  /** The keeper stops soon; hosts turn to the next one. */
  readonly isLeaving: boolean;
}
