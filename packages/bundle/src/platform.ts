import type { Result } from "neverthrow";
import type {
  FailureDomain,
  HostId,
  Milliseconds,
  UpstreamId,
} from "@wasabivane/common";
import type { SignedBundle } from "./signedBundle.ts";

/** An entry host in the host list. */
export interface ListedHost {
  readonly host: HostId;
  readonly incarnation?: string;
  /** The address of the peer port as `ip:port`. */
  readonly peerAddress: string;
  readonly failureDomain: FailureDomain;
  readonly state: "live" | "leaving";
}

/** An upstream in the host list; upstreams that are not listed are gone. */
export interface ListedUpstream {
  readonly upstream: UpstreamId;
  readonly state: "live" | "leaving";
}

/** The host list of the platform; it may be stale. */
export interface HostList {
  /** Only increases. */
  readonly version: number;
  readonly entryHosts: readonly ListedHost[];
  readonly upstreams: readonly ListedUpstream[];
}

/** The reason that a read from the platform failed. */
export type PlatformError =
  | { readonly kind: "unreachable"; readonly detail: string }
  | { readonly kind: "over-budget"; readonly retryAfterMs: Milliseconds }
  | { readonly kind: "malformed"; readonly detail: string };

/** A value with the revision after which the next read waits for changes. */
export interface Revisioned<Value> {
  readonly revision: number;
  readonly value: Value;
}

/** Reads the signed bundle from the configuration service of the platform. */
export abstract class BundleSource {
  /**
   * Returns the newest signed bundle after `afterRevision`, or `undefined` if
   * there is none within `waitMs`. Each call counts against the read budget.
   */
  abstract read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Result<Revisioned<SignedBundle> | undefined, PlatformError>>;
}

/** Reads the host list of the platform. */
export abstract class HostListSource {
  /** Returns the newest host list; see {@link BundleSource.read}. */
  abstract read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Result<Revisioned<HostList> | undefined, PlatformError>>;
}
