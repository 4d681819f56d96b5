import { estimateRoute, type RouteCandidate } from "@wasabivane/decisions";
import { buildPlacementRequest } from "./buildPlacementRequest.ts";

const candidate = {
  description: {
    upstream: "u1",
    failureDomain: "hakata",
    generation: "a",
    isLeaving: false,
  },
  times: { prefillMsPerToken: 0.1, decodeMsPerToken: 10, typicalInFlight: 4 },
  inFlightRequests: 3,
  expectedInFlight: 4,
  prefillBacklogTokens: 0,
  cachedTokens: 0,
  report: undefined,
} as unknown as RouteCandidate;

/** Prefill of 400 tokens at 0.1 ms and decoding of 100 tokens at 10 ms. */
export const result = estimateRoute(candidate, {
  placementRequest: buildPlacementRequest("draft", { tier: 1 }),
  meanOutputTokens: 100,
  probabilityWithin: (tokens) => Math.min(1, tokens / 500),
  domainDistanceMs: 1,
  now: 0,
}).expectedMs;
