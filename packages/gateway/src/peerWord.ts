/** What hosts tell each other of what they believe and of who is there. */
import type {
  Digest,
  FailureDomain,
  HostId,
  Incarnation,
  Milliseconds,
  UpstreamId,
} from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";

/** A host, as another one tells of it. */
export interface PeerMention {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** `ip:port` of its datagram port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  /** Time since its process started. */
  readonly age: Milliseconds;
  /** Time since somebody heard it itself. */
  readonly silence: Milliseconds;
  /** It stops soon. */
  readonly isLeaving: boolean;
  /** Whether it can read the platform's store. */
  readonly canRead: boolean;
  /** Processor cores that it may use. */
  readonly cores: number;
}

/** Changes of the list of upstreams between two revisions of the store. */
export interface UpstreamListChange {
  readonly from: number;
  readonly to: number;
  readonly upstreams: readonly Upstream[];
  /** Names of those that are listed no more. */
  readonly removed: readonly string[];
  /** All evacuated failure domains after the change; `undefined` where they stay the same. */
  readonly evacuated?: readonly FailureDomain[] | undefined;
}

/** All that a host tells a peer at once; each word replaces the one before. */
export interface PeerWord {
  /** The speaker; its silence is 0. */
  readonly self: PeerMention;
  /** Grows with each word of one incarnation. */
  readonly sequence: number;
  /** 0 when the host has no policy yet. */
  readonly policyVersion: number;
  /** Revision of the store up to which the host knows all upstreams; 0 when it does not. */
  readonly listRevision: number;
  /** Age of the proof that both are the newest; `undefined` without one. */
  readonly proofAge: Milliseconds | undefined;
  readonly left: readonly UpstreamId[];
  readonly crashes: readonly (readonly [Digest, UpstreamId, Milliseconds])[];
  /** The last changes of the list, the oldest first. */
  readonly changes: readonly UpstreamListChange[];
  /** Hosts that were asked in vain, and for how long they are passed over. */
  readonly silent: readonly (readonly [HostId, Milliseconds])[];
  /** Peers that live, as far as the speaker knows. */
  readonly peers: number;
  readonly mentions: readonly PeerMention[];
}
