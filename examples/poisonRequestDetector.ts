import type { Digest, UpstreamId } from "@wasabivane/common";
import { PoisonRequestDetector } from "@wasabivane/decisions";

const detector = new PoisonRequestDetector();
const [poison, harmless] = ["a", "b"] as unknown as [Digest, Digest];
const [first, second] = ["u1", "u2"] as unknown as [UpstreamId, UpstreamId];
detector.recordUpstreamLoss(first, [poison, harmless], 0);
detector.recordUpstreamLoss(second, [poison], 5_000);

/**
 * The request that was in flight at both lost upstreams is convicted, the other
 * one is cleared.
 */
export const result = [poison, harmless].map((fingerprint) =>
  detector.statusOf(fingerprint, 6_000).kind
);
