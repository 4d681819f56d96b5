import type { Digest, UpstreamId } from "@wasabivane/common";
import { PoisonRequestDetector } from "@wasabivane/decisions";

const suspects = new PoisonRequestDetector();
const [killer, innocent] = ["a", "b"] as unknown as [Digest, Digest];
const [first, second] = ["u1", "u2"] as unknown as [UpstreamId, UpstreamId];
suspects.recordUpstreamLoss(first, [killer, innocent], 0);
suspects.recordUpstreamLoss(second, [killer], 5_000);

/** The second loss convicts one and clears the other. */
export const result = [killer, innocent].map((fingerprint) =>
  suspects.statusOf(fingerprint, 6_000).kind
);
