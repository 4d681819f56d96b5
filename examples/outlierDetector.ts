import type { UpstreamId } from "@wasabivane/common";
import { OutlierDetector } from "@wasabivane/decisions";

const detector = new OutlierDetector({
  upstreamCount: 4,
  maximumEjectedShare: 0.5,
});
const upstreams = ["u1", "u2", "u3"] as unknown as UpstreamId[];

/** Whether each loss ejects its upstream; at most half of the four may be. */
export const result = upstreams.map((upstream) =>
  detector.observe(upstream, "upstream-lost", 0)
);
