import { OutputLengthEstimator, type OutputLengthQuery } from "@wasabivane/decisions";

const lengths = new OutputLengthEstimator();
const query = {
  account: "account-1",
  tier: 2,
  maximumOutputTokens: 4_096,
} as unknown as OutputLengthQuery;
for (let answer = 0; answer < 400; answer++) {
  lengths.observe({ ...query, outputTokens: 100 + answer, isComplete: true });
}

/** Nine of ten answers of this account and tier are at most so long. */
export const result = lengths.distribution(query).quantile(0.9);
