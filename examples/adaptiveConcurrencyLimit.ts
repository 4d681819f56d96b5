import { AdaptiveConcurrencyLimit } from "@wasabivane/decisions";

const bound = new AdaptiveConcurrencyLimit({ initialRequests: 8, maximumRequests: 64 });
const sample = {
  backlogTokens: 1_000,
  uncachedTokens: 1_000,
  inFlightRequests: 8,
  inFlightTokens: 9_000,
};
bound.observe({ ...sample, elapsed: 100 }, 0);
for (let second = 1; second <= 3; second++) {
  bound.observe({ ...sample, elapsed: 4_000 }, second * 1_000);
}

/** An upstream that turned slow may hold less work within seconds. */
export const result = bound.requests;
