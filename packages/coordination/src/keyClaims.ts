import type {
  ClientAccountId,
  Digest,
  EpochMilliseconds,
  HostId,
  IdempotencyKey,
  Incarnation,
  Milliseconds,
  Nonce,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";

/** Identifies a process that claims or owns a key. */
export interface Claimant {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Request that claims the key; other hosts use it to find the response. */
  readonly request: RequestId;
}

/** Claims the right to dispatch the request of a key. */
export interface Claim {
  readonly account: ClientAccountId;
  readonly key: IdempotencyKey;
  readonly issuedAt: EpochMilliseconds;
  readonly lifetimeMs: Milliseconds;
  readonly bodyDigest: Digest;
  readonly isIdempotent: boolean;
  /** Upper bound on the time since the request reached its entry host. */
  readonly ageMs?: Milliseconds | undefined;
  /** Identifies this claim, so that duplicate messages are recognized. */
  readonly claimId: string;
  readonly claimant: Claimant;
}

/** Identifies the dispatch of a key's request. */
export interface Dispatch {
  readonly upstream: UpstreamId;
  readonly nonce: Nonce;
}

/** Why it cannot be determined whether a key's request ran. */
export type UnknownReason =
  /** Issued before the home's tenure, so a former home may have granted it. */
  | "older-than-tenure"
  /** The owner died and may have dispatched the request. */
  | "owner-lost"
  /** The home did not reply in time. */
  | "unreachable"
  /** The home has no leases from a majority. */
  | "home-inactive"
  /** The process that issued the ticket has ended. */
  | "home-restarted"
  /** The key is past its lifetime and its state has been deleted. */
  | "expired"
  /** This host cannot authenticate the ticket. */
  | "unauthenticated";

/** Why a key's request has not run and will not run. */
export type NotRunReason =
  | "malformed"
  | "issued-in-future"
  | "full"
  /** Released recently; not granted again until the grace period ends. */
  | "released";

/** Reply of a home to a {@link Claim}. */
export type ClaimReply =
  /** The claimant owns the key exclusively until it releases it. */
  | { readonly kind: "granted"; readonly attempt: number }
  | {
    readonly kind: "owned-by";
    readonly owner: Claimant;
    readonly state: "waiting" | "dispatched" | "finished";
    readonly dispatch?: Dispatch | undefined;
  }
  /**
   * The owner has terminated; its dispatch may be resumed, which does not run
   * the request again.
   */
  | { readonly kind: "resume-at"; readonly dispatch: Dispatch }
  /** The key was used with a different body. */
  | { readonly kind: "mismatch" }
  | { readonly kind: "unknown"; readonly reason: UnknownReason }
  | { readonly kind: "not-run"; readonly reason: NotRunReason };
