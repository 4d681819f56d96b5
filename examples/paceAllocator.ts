import { PaceAllocator, type PaceSample } from "@wasabivane/decisions";

const ladder = new PaceAllocator();
const sample = {
  tier: 1,
  remaining: 20_000,
  meanOutputTokens: 150,
  longOutputTokens: 800,
} as unknown as PaceSample;
for (let at = 0; at < 1_000; at += 100) ladder.recordArrival(sample, at);
const times = {
  prefillMsPerToken: 0.05,
  decodeMsPerToken: 40,
  typicalInFlight: 60,
};
const upstream = { times, paceLimit: Infinity, paceTier: undefined };
ladder.assignLimits([upstream], 1_000);

/** At 60 requests answers are half as fast as the tier needs. */
export const result = upstream.paceLimit;
