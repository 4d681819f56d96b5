import type { FailureDomain, HostId } from "@wasabivane/common";
import type { PlacementRequest } from "@wasabivane/decisions";
import type { AcceptedRequest } from "./acceptedRequest.ts";

/** Creates the placement request that is sent to the pool's coordinator. */
export function placementRequestOf(
  request: AcceptedRequest,
  { host, failureDomain }: { host: HostId; failureDomain: FailureDomain },
): PlacementRequest {
  return {
    request: request.requestId,
    origin: host,
    originDomain: failureDomain,
    account: request.account.account,
    tier: request.tier,
    promptTokens: request.promptTokens,
    maximumOutputTokens: request.maximumOutputTokens,
    bodyBytes: request.body.byteLength,
    deadline: request.deadline,
    prefixDigests: request.prefixDigests,
    fingerprint: request.fingerprint,
  };
}
