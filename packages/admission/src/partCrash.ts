import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import type { SoftwareVersion } from "./types.ts";

/** A request with shared prompt parts that broke off as its upstream crashed. */
export interface PartCrash {
  readonly upstream: UpstreamId;
  readonly softwareVersion: SoftwareVersion;
  /** When the request broke off. */
  readonly at: Milliseconds;
  readonly sentAt: Milliseconds;
  readonly account: Digest;
  readonly parts: readonly Digest[];
}

/** A complete response to a request with a part that was at crashes. */
export interface PartCompletion {
  readonly part: Digest;
  readonly at: Milliseconds;
  readonly softwareVersion: SoftwareVersion;
}

/** Parts that crash upstreams, together as far as nobody has seen one alone. */
export interface PartConviction {
  /** In ascending order; requests that lack one of them are not concerned. */
  readonly parts: readonly Digest[];
  /** The only client account that it holds for; `undefined` for all. */
  readonly account: Digest | undefined;
  readonly lastCrashAt: Milliseconds;
  /** Requests that were let through since and crashed their upstream. */
  readonly failedTrials: number;
  /** Versions of the upstreams that crashed. */
  readonly softwareVersions: readonly SoftwareVersion[];
}
