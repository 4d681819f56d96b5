import {
  OutputLengthEstimator,
  type OutputLengthQuery,
} from "@wasabivane/decisions";

const estimator = new OutputLengthEstimator();
const query = {
  account: "account-1",
  tier: 2,
  maximumOutputTokens: 4_096,
} as unknown as OutputLengthQuery;
for (let response = 0; response < 400; response++) {
  estimator.observe({
    ...query,
    outputTokens: 100 + response,
    isComplete: true,
  });
}

/** The 90th percentile of output tokens for this account and tier. */
export const result = estimator.distribution(query).quantile(0.9);
