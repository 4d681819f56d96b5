import type { UpstreamId } from "@wasabivane/common";
import type { SoftwareVersion, Upstream } from "./types.ts";

/** What restricts the upstreams that a request may be sent to. */
export interface Eligibility {
  /** Upstreams that it was sent to before. */
  readonly excluded?: ReadonlySet<UpstreamId>;
  /** Version that began its stream; `undefined` if it may go to any. */
  readonly softwareVersion?: SoftwareVersion | undefined;
}

/** Whether a request may be sent to an upstream of its service. */
export function isEligible(
  { upstream, softwareVersion }: Upstream,
  request: Eligibility,
): boolean {
  if (request.excluded?.has(upstream)) return false;
  return request.softwareVersion === undefined ||
    request.softwareVersion === softwareVersion;
}
