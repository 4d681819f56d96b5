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

/** A process that asks for a key or owns one. */
export interface Claimant {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** The request that claims, by which others find it there. */
  readonly request: RequestId;
}

/** Asks the home of a key for the right to dispatch its request. */
export interface Claim {
  readonly account: ClientAccountId;
  readonly key: IdempotencyKey;
  readonly issuedAt: EpochMilliseconds;
  readonly lifetimeMs: Milliseconds;
  readonly bodyDigest: Digest;
  readonly isIdempotent: boolean;
  /** How long ago the request can have reached its entry host at most. */
  readonly ageMs?: Milliseconds | undefined;
  /** Names this claim, so that a doubled message is told from a second one. */
  readonly claimId: string;
  readonly claimant: Claimant;
}

/** The dispatch of a key's request. */
export interface Dispatch {
  readonly upstream: UpstreamId;
  readonly nonce: Nonce;
}

/** Why nobody can say whether a key's request ran. */
export type UnknownReason =
  /** Issued before the home's tenure; a caller that knows it never sent it may take a new key. */
  | "older-than-tenure"
  /** The owner died, perhaps right after a dispatch that nobody heard of. */
  | "owner-lost"
  /** The home did not answer in time. */
  | "unreachable"
  /** The home holds no majority of leases. */
  | "home-inactive"
  /** The ticket's incarnation is gone. */
  | "home-restarted"
  /** The key is older than its lifetime; what was known of it is forgotten. */
  | "expired"
  /** A ticket that this host cannot authenticate. */
  | "unauthenticated";

/** Why no host ever took or takes the key. */
export type NotRunReason =
  | "malformed"
  | "issued-in-future"
  | "full"
  /** Its owner gave it back a moment ago; nobody is granted it yet. */
  | "released";

/** What a home says to a {@link Claim}. */
export type ClaimReply =
  /** The claimant owns the key; nobody else is told so until it is released. */
  | { readonly kind: "granted"; readonly attempt: number }
  | {
    readonly kind: "owned-by";
    readonly owner: Claimant;
    readonly state: "waiting" | "dispatched" | "finished";
    readonly dispatch?: Dispatch | undefined;
  }
  /** The owner is gone; its dispatch may be resumed, which is no second one. */
  | { readonly kind: "resume-at"; readonly dispatch: Dispatch }
  /** The key was used with another body. */
  | { readonly kind: "mismatch" }
  | { readonly kind: "unknown"; readonly reason: UnknownReason }
  | { readonly kind: "not-run"; readonly reason: NotRunReason };
