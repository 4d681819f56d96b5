import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import type {
  AttemptObservation,
  ResponseTimings,
} from "@wasabivane/admission";
import type { Attempt, AttemptEnd } from "./attempt.ts";
import { expectedTokensOf, promptTokensOf } from "./attemptPlan.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { AdmittedRequest } from "./requestAdmission.ts";
import { wasNotSent } from "./retryState.ts";

/** The request and the outcome that an attempt is recorded with. */
export interface AttemptRecord {
  readonly context: GatewayContext;
  readonly admitted: AdmittedRequest;
  readonly fingerprint: Digest;
  readonly end: AttemptEnd;
}

/**
 * Records an attempt's outcome in the upstream's statistics, health and crash
 * history, and frees its slot.
 */
export function recordAttempt(
  attempt: Attempt,
  { context, admitted, fingerprint, end: { outcome, wasSent } }: AttemptRecord,
): void {
  const { service } = admitted;
  const { upstream } = attempt.upstream;
  const now = context.timer.now();
  const residence = now - attempt.startedAt;
  if (outcome === "broken" && wasSent) {
    context.crashes.recordBrokenResponse({ fingerprint, upstream, at: now });
    context.metrics.count("crashes_suspected");
    context.log.write("crash_suspected", {
      id: admitted.metadata.requestId,
      upstream,
      fingerprint,
    });
  }
  if (outcome === "replaced") context.removeReplaced(upstream);
  if (outcome === "unreachable") confirmCrashes(upstream, context);
  if (wasNotSent(outcome)) {
    context.metrics.count("slots_unused");
    context.metrics.count("slots_unused_ms", Math.round(residence));
  }
  const observation: AttemptObservation = {
    upstream,
    service,
    outcome,
    residence,
    ...outcome === "whole" &&
      { times: createTimings(attempt, admitted, residence) },
  };
  if (context.upstreamStats.record(observation, now)) {
    context.metrics.count("upstream_ejected");
    context.log.write("upstream_ejected", { upstream, outcome, service });
  }
  context.placementClient.end(attempt.upstream, observation, now);
}

function createTimings(
  { startedAt, firstEventAt, eventCount, latePauses, promptTokens }: Attempt,
  admitted: AdmittedRequest,
  residence: Milliseconds,
): ResponseTimings {
  return {
    route: admitted.route.route,
    expectedTokens: expectedTokensOf(admitted),
    promptTokens,
    ownTokens: promptTokensOf(admitted),
    latency: firstEventAt === undefined ? residence : firstEventAt - startedAt,
    events: firstEventAt === undefined ? 0 : Math.max(1, eventCount),
    latePauses,
  };
}

function confirmCrashes(
  upstream: UpstreamId,
  { crashes, log, metrics, announceCrash, timer }: GatewayContext,
): void {
  for (const crash of crashes.confirmCrashes(upstream, timer.now())) {
    metrics.count("crashes_confirmed");
    log.write("crash_confirmed", { upstream, fingerprint: crash.fingerprint });
    announceCrash(crash);
  }
}
