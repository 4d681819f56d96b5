import { AccountLimits, type AccountPolicy } from "@wasabivane/decisions";
import { buildPlacementRequest } from "./buildPlacementRequest.ts";

const policy = {
  account: "account-1",
  requestsPerSecond: 1,
  tokensPerSecond: 10_000,
  concurrentRequests: 2,
  waitingRequests: 8,
} as unknown as AccountPolicy;
const limits = new AccountLimits([policy]);
limits.charge(buildPlacementRequest("first", { tier: 1 }), 600);

/**
 * The second request within a second is over the limit; `retryAfter` holds the
 * time until it may be sent again.
 */
export const result = limits.check(
  buildPlacementRequest("second", { tier: 1 }),
  250,
);
