declare const brand: unique symbol;

/** A primitive with a compile-time name, so that id types do not mix. */
export type Branded<Value, Name extends string> = Value & {
  readonly [brand]: Name;
};

/** The name of an entry host in the host list of the platform. */
export type HostId = Branded<string, "HostId">;
/** Identifies one run of the process on an entry host; changes on restart. */
export type Incarnation = Branded<string, "Incarnation">;
/** The name of a group of hosts that can fail together. */
export type FailureDomain = Branded<string, "FailureDomain">;
/** Identifies a customer that authenticates with its own API keys. */
export type ClientAccountId = Branded<string, "ClientAccountId">;
/** Identifies one replica of a service. */
export type UpstreamId = Branded<string, "UpstreamId">;
/** The name of a group of interchangeable upstreams. */
export type ServiceId = Branded<string, "ServiceId">;
/** Identifies one attempt of a caller on the entry host that accepted it. */
export type RequestId = Branded<string, "RequestId">;
/** A random value that ties a response to the request sent upstream. */
export type Nonce = Branded<string, "Nonce">;
/** Identifies a request that runs as a job, whose result is fetched later. */
export type JobId = Branded<string, "JobId">;
/** An idempotency key, unique within its client account. */
export type IdempotencyKey = Branded<string, "IdempotencyKey">;
/** A digest in hex. */
export type Digest = Branded<string, "Digest">;
/** The priority of a request; 1 is the most urgent. */
export type Tier = Branded<number, "Tier">;
/** The version of a bundle; it only increases. */
export type BundleVersion = Branded<number, "BundleVersion">;

/** A duration or a point on a monotonic clock. */
export type Milliseconds = number;
/** Wall-clock time since the Unix epoch. */
export type EpochMilliseconds = number;

/** Brands a string as an id without validating it. */
export function asId<Id extends Branded<string, string>>(value: string): Id {
  return value as Id;
}

/** Brands a number as a {@link Tier} without validating it. */
export function asTier(value: number): Tier {
  return value as Tier;
}

/** Brands a number as a {@link BundleVersion} without validating it. */
export function asBundleVersion(value: number): BundleVersion {
  return value as BundleVersion;
}
