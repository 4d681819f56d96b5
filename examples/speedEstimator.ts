import type { UpstreamId } from "@wasabivane/common";
import { SpeedEstimator } from "@wasabivane/decisions";

const estimator = new SpeedEstimator();
const [observed, added] = ["u1", "u2"] as unknown as [UpstreamId, UpstreamId];
estimator.register(observed, "generation-a");
estimator.register(added, "generation-a");
estimator.observeDecode({
  upstream: observed,
  outputTokens: 101,
  elapsed: 1_200,
  inFlight: 4,
});

/** A new upstream starts with the speed of its hardware generation. */
export const result = estimator.times(added).decodeMsPerToken;
