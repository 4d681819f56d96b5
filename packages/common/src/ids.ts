/** Branded identifiers, so that an id of one kind cannot stand in for another. */

declare const brand: unique symbol;

/** A primitive that carries a compile-time name. */
export type Branded<Value, Name extends string> = Value & {
  readonly [brand]: Name;
};

/** One entry host, by the name that the platform publishes. */
export type HostId = Branded<string, "HostId">;
/** One start of the process on an entry host; a restart gets a new one. */
export type Incarnation = Branded<string, "Incarnation">;
/** A group of hosts that can be lost together. */
export type FailureDomain = Branded<string, "FailureDomain">;
/** A customer that authenticates with its own keys. */
export type ClientAccountId = Branded<string, "ClientAccountId">;
/** One replica of a service behind the entry hosts. */
export type UpstreamId = Branded<string, "UpstreamId">;
/** A named group of interchangeable upstreams. */
export type ServiceId = Branded<string, "ServiceId">;
/** One attempt of a caller, as seen by the entry host that took it. */
export type RequestId = Branded<string, "RequestId">;
/** The unguessable value that ties an answer to its dispatch. */
export type Nonce = Branded<string, "Nonce">;
/** A request of the job form, waiting or fetched later. */
export type JobId = Branded<string, "JobId">;
/** A caller's idempotency key within one client account. */
export type IdempotencyKey = Branded<string, "IdempotencyKey">;
/** A hex digest of content. */
export type Digest = Branded<string, "Digest">;
/** Importance of a request; 1 is the most urgent. */
export type Tier = Branded<number, "Tier">;
/** The number of an accepted bundle; it only grows. */
export type BundleVersion = Branded<number, "BundleVersion">;

/** Milliseconds, as a duration or as a point on a monotonic clock. */
export type Milliseconds = number;
/** Milliseconds since the Unix epoch, as a wall clock tells them. */
export type EpochMilliseconds = number;

/** Gives a plain value its brand; callers have checked its shape before. */
export function asId<Id extends Branded<string, string>>(value: string): Id {
  return value as Id;
}

/** Gives a number its {@link Tier} brand. */
export function asTier(value: number): Tier {
  return value as Tier;
}

/** Gives a number its {@link BundleVersion} brand. */
export function asBundleVersion(value: number): BundleVersion {
  return value as BundleVersion;
}
