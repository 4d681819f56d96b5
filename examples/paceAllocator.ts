import { PaceAllocator, type PaceSample } from "@wasabivane/decisions";

const allocator = new PaceAllocator();
const sample = {
  tier: 1,
  remaining: 20_000,
  meanOutputTokens: 150,
  longOutputTokens: 800,
} as unknown as PaceSample;
for (let now = 0; now < 1_000; now += 100) allocator.recordArrival(sample, now);
const times = {
  prefillMsPerToken: 0.05,
  decodeMsPerToken: 40,
  typicalInFlight: 60,
};
const upstream = { times, paceLimit: Infinity, paceTier: undefined };
allocator.assignLimits([upstream], 1_000);

/**
 * The pace limit is below 60 requests in flight, since responses are too slow
 * for the tier at that load.
 */
export const result = upstream.paceLimit;
