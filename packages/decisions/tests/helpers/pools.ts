import { asId, asTier } from "@wasabivane/common";
import type {
  ClientAccountId,
  Digest,
  FailureDomain,
  HostId,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import type {
  Decision,
  PlacementRequest,
  PoolPolicy,
} from "@wasabivane/decisions";

/**
 * Builds a placement request with default values, which a test may override.
 */
export function buildPlacementRequest(
  name: string,
  { account = "account-a", tier = 1, ...rest }:
    & { account?: string; tier?: number }
    & Partial<Omit<PlacementRequest, "account" | "tier">> = {},
): PlacementRequest {
  return {
    request: asId<RequestId>(name),
    origin: asId<HostId>("host-1"),
    originDomain: asId<FailureDomain>("domain-1"),
    account: asId<ClientAccountId>(account),
    tier: asTier(tier),
    promptTokens: 400,
    maximumOutputTokens: 200,
    bodyBytes: 1_600,
    deadline: 60_000,
    prefixDigests: [],
    fingerprint: asId<Digest>(`print-${name}`),
    ...rest,
  };
}

/**
 * Builds a pool of equal upstreams `u0`, `u1`, ... in three failure domains.
 */
export function buildPolicy(
  upstreams: number,
  overrides: Partial<PoolPolicy> = {},
): PoolPolicy {
  return {
    upstreams: Array.from({ length: upstreams }, (_, index) => ({
      upstream: upstreamId(index),
      failureDomain: asId<FailureDomain>(`domain-${index % 3 + 1}`),
      generation: "medium",
      isLeaving: false,
    })),
    accounts: [],
    tiers: [1, 2, 3, 4].map(asTier),
    initialConcurrency: 8,
    maximumConcurrency: 32,
    maximumWaitingTokens: 200_000,
    maximumWaitingBytes: 4_000_000,
    maximumEjectedShare: 0.5,
    domainDistanceMs: 1,
    ...overrides,
  };
}

/** Returns the id of the upstream with this index. */
export function upstreamId(index: number): UpstreamId {
  return asId<UpstreamId>(`u${index}`);
}

/** Formats decisions, such as `grant a u0` or `refuse b shed`. */
export function describeDecisions(decisions: readonly Decision[]): string[] {
  return decisions.map((decision) =>
    decision.kind === "grant"
      ? `grant ${decision.placementRequest.request} ${decision.upstream}`
      : `refuse ${decision.placementRequest.request} ${decision.reason}`
  );
}
