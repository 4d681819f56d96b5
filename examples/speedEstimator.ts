import type { UpstreamId } from "@wasabivane/common";
import { SpeedEstimator } from "@wasabivane/decisions";

const speeds = new SpeedEstimator();
const [seen, fresh] = ["u1", "u2"] as unknown as [UpstreamId, UpstreamId];
speeds.register(seen, "generation-a");
speeds.register(fresh, "generation-a");
speeds.observeDecode({
  upstream: seen,
  outputTokens: 101,
  elapsed: 1_200,
  inFlight: 4,
});

/** A new upstream is taken to be as fast as its generation. */
export const result = speeds.times(fresh).decodeMsPerToken;
