import { AdaptiveConcurrencyLimit } from "@wasabivane/decisions";

const limit = new AdaptiveConcurrencyLimit({
  initialRequests: 8,
  maximumRequests: 64,
});
const sample = {
  backlogTokens: 1_000,
  uncachedTokens: 1_000,
  inFlightRequests: 8,
  inFlightTokens: 9_000,
};
limit.observe({ ...sample, elapsed: 100 }, 0);
for (let second = 1; second <= 3; second++) {
  limit.observe({ ...sample, elapsed: 4_000 }, second * 1_000);
}

/**
 * The limit of requests in flight is lowered within seconds after an upstream
 * slows down.
 */
export const result = limit.requests;
