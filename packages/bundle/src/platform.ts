import type { Result } from "neverthrow";
import type {
  FailureDomain,
  HostId,
  Milliseconds,
  UpstreamId,
} from "@wasabivane/common";
import type { SignedBundle } from "./signedBundle.ts";

/** One entry host as the platform lists it. */
export interface ListedHost {
  readonly host: HostId;
  readonly incarnation?: string;
  /** Address of the peer port, `ip:port`. */
  readonly peerAddress: string;
  readonly failureDomain: FailureDomain;
  readonly state: "live" | "leaving";
}

/** One upstream as the platform lists it; absent upstreams are gone. */
export interface ListedUpstream {
  readonly upstream: UpstreamId;
  readonly state: "live" | "leaving";
}

/** The platform's host list; it lags, and its version only grows. */
export interface HostList {
  readonly version: number;
  readonly entryHosts: readonly ListedHost[];
  readonly upstreams: readonly ListedUpstream[];
}

/** Why the platform gave no answer. */
export type PlatformError =
  | { readonly kind: "unreachable"; readonly detail: string }
  | { readonly kind: "over-budget"; readonly retryAfterMs: Milliseconds }
  | { readonly kind: "malformed"; readonly detail: string };

/** A value with the revision under which a watch may wait for the next one. */
export interface Revisioned<Value> {
  readonly revision: number;
  readonly value: Value;
}

/** Reads and watches the bundle at the platform's configuration service. */
export abstract class BundleSource {
  /**
   * The newest signed bundle past `afterRevision`. Waits up to `waitMs` for one;
   * `undefined` when none came. Each call counts against the read budget.
   */
  abstract read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Result<Revisioned<SignedBundle> | undefined, PlatformError>>;
}

/** Reads and watches the platform's host list. */
export abstract class HostListSource {
  /** As {@link BundleSource.read}, for the host list. */
  abstract read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Result<Revisioned<HostList> | undefined, PlatformError>>;
}
