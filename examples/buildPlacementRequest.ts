import type { PlacementRequest } from "@wasabivane/decisions";

/** Builds a placement request with typical values. */
export function buildPlacementRequest(
  request: string,
  { tier }: { tier: number },
): PlacementRequest {
  return {
    request,
    origin: "host-1",
    originDomain: "hakata",
    account: "account-1",
    tier,
    promptTokens: 400,
    maximumOutputTokens: 500,
    bodyBytes: 1_600,
    deadline: 20_000,
    prefixDigests: [],
    fingerprint: `print of ${request}`,
  } as unknown as PlacementRequest;
}
