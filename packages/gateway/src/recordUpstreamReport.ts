import type { Upstream } from "@wasabivane/admission";
import type { ResponseMetadata } from "./dialect.ts";
import type { GatewayContext } from "./gatewayContext.ts";

/**
 * Records what an upstream reported, and logs when the limits that it names
 * begin, change or end. One that says it is leaving gets no more requests, one
 * that names a backoff none from this host for that time.
 */
export function recordUpstreamReport(
  upstream: Upstream,
  metadata: ResponseMetadata,
  context: GatewayContext,
): void {
  recordLimit(upstream, metadata, context);
  recordBackoff(upstream, metadata, context);
  if (metadata.isLoadMalformed) {
    context.malformedReports.record(upstream.upstream);
  }
  if (!metadata.isLeaving) return;
  context.metrics.count("upstream_leaving_responses");
  context.reportLeaving(upstream.upstream);
}

function recordLimit(
  upstream: Upstream,
  { load, startsPerSecond: named, rejectionsPerSecond, slowdown }:
    ResponseMetadata,
  { placementClient, upstreamStats, timer, log }: GatewayContext,
): void {
  const { rateLimits, tolerances } = upstreamStats;
  const { upstream: id, service } = upstream;
  const previous = rateLimits.of(id);
  const tolerated = tolerances.of(service);
  const report = {
    requests: load,
    startsPerSecond: named,
    ...rejectionsPerSecond !== undefined && { rejectionsPerSecond },
    ...slowdown !== undefined && { slowdown },
  };
  placementClient.recordUpstreamReport(upstream, report, timer.now());
  if (tolerances.of(service) !== tolerated) {
    log.write("rejections_limited", {
      service,
      rejectionsPerSecond: tolerances.of(service),
      former: tolerated,
    });
  }
  const startsPerSecond = rateLimits.of(id);
  if (startsPerSecond === previous) return;
  log.write("upstream_limited", {
    upstream: id,
    startsPerSecond,
    former: previous,
  });
}

function recordBackoff(
  upstream: Upstream,
  { retryAfter }: ResponseMetadata,
  { placementClient, timer, metrics, log, announceBackoff }: GatewayContext,
): void {
  if (retryAfter === undefined) return;
  metrics.count("upstream_backoff_responses");
  log.write("upstream_backoff", { upstream: upstream.upstream, retryAfter });
  placementClient.recordBackoff(upstream, retryAfter, timer.now());
  announceBackoff(upstream.upstream, retryAfter);
}
