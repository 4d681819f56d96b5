import type { UpstreamId } from "@wasabivane/common";
import { OutlierDetector } from "@wasabivane/decisions";

const ejection = new OutlierDetector({ upstreamCount: 4, maximumEjectedShare: 0.5 });
const upstreams = ["u1", "u2", "u3"] as unknown as UpstreamId[];

/** At most half of the four may be ejected, whatever fails. */
export const result = upstreams.map((upstream) =>
  ejection.observe(upstream, "upstream-lost", 0)
);
