import type { Upstream, UpstreamReport } from "@wasabivane/admission";
import type { GatewayContext } from "./gatewayContext.ts";

/**
 * Records what an upstream reported, and logs when the limit that it names
 * begins, changes or ends.
 */
export function recordUpstreamReport(
  upstream: Upstream,
  report: UpstreamReport,
  { placementClient, upstreamStats, timer, log }: GatewayContext,
): void {
  const { rateLimits } = upstreamStats;
  const id = upstream.upstream;
  const previous = rateLimits.of(id);
  placementClient.recordUpstreamReport(upstream, report, timer.now());
  const startsPerSecond = rateLimits.of(id);
  if (startsPerSecond === previous) return;
  log.write("upstream_limited", {
    upstream: id,
    startsPerSecond,
    former: previous,
  });
}
