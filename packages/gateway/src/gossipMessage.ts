/** Types of the gossip messages among hosts. */
import type {
  Address,
  FailureDomain,
  HostId,
  Incarnation,
  Milliseconds,
  UpstreamId,
} from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import type { CrashRows } from "./crashGossip.ts";
import type { PartCrashRows } from "./partCrashRows.ts";

/** The state of a host, as gossiped by itself or a peer. */
export interface PeerRecord {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Address of its peer port. */
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  /** Time since its process started, in milliseconds. */
  readonly age: Milliseconds;
  /** Time since any host received a message from it. */
  readonly timeSinceHeard: Milliseconds;
  /** Whether it is shutting down. */
  readonly isLeaving: boolean;
  /** Whether it can read the platform's store. */
  readonly isStoreReachable: boolean;
  /** Processor cores available to it. */
  readonly cores: number;
}

/** The changes of the upstream list between two store revisions. */
export interface UpstreamListChange {
  readonly from: number;
  readonly to: number;
  readonly upstreams: readonly Upstream[];
  /** Names of upstreams that are no longer listed. */
  readonly removed: readonly string[];
  /**
   * All evacuated failure domains after the change; `undefined` if unchanged.
   */
  readonly evacuated?: readonly FailureDomain[] | undefined;
}

/** A host's periodic message to its peers; each supersedes the previous one. */
export interface GossipMessage extends CrashRows, PartCrashRows {
  /** The sender. */
  readonly sender: PeerRecord;
  /** Increases with each message of an incarnation. */
  readonly sequence: number;
  /** 0 without a policy. */
  readonly policyVersion: number;
  /** Store revision up to which no newer policy was written. */
  readonly policyRevision: number;
  /**
   * Store revision up to which the sender knows all upstreams; 0 if it does
   * not.
   */
  readonly listRevision: number;
  /** Time since both were confirmed current; `undefined` if they never were. */
  readonly confirmationAge: Milliseconds | undefined;
  /** Upstreams that announced that they are leaving. */
  readonly leavingUpstreams: readonly UpstreamId[];
  /** The latest changes of the upstream list, oldest first. */
  readonly listChanges: readonly UpstreamListChange[];
  /** Unresponsive hosts and for how long they are skipped. */
  readonly unresponsiveHosts: readonly (readonly [HostId, Milliseconds])[];
  /** Number of live peers known to the sender. */
  readonly peerCount: number;
  /** State of some of the sender's peers. */
  readonly peerRecords: readonly PeerRecord[];
}
