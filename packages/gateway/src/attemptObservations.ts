import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import type {
  AttemptObservation,
  ResponseTimings,
} from "@wasabivane/admission";
import type { Attempt, AttemptEnd } from "./attempt.ts";
import { expectedTokensOf, promptTokensOf } from "./attemptPlan.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { Admitted } from "./intake.ts";

/** What an attempt was about. */
export interface ObservationContext {
  readonly parts: GatewayContext;
  readonly admitted: Admitted;
  readonly fingerprint: Digest;
  readonly end: AttemptEnd;
}

/** Takes in what one attempt showed of its upstream: speed, health, crashes, a free place. */
export function learnFrom(
  attempt: Attempt,
  { parts, admitted, fingerprint, end: { outcome, wasSent } }:
    ObservationContext,
): void {
  const { service } = admitted;
  const { upstream } = attempt.upstream;
  const now = parts.timer.now();
  const residence = now - attempt.startedAt;
  if (outcome === "broken" && wasSent) {
    parts.crashes.recordBrokenResponse({ fingerprint, upstream, at: now });
  }
  if (outcome === "replaced") parts.dropReplaced(upstream);
  if (outcome === "unreachable") confirmCrashes(upstream, parts);
  const observation: AttemptObservation = {
    upstream,
    service,
    outcome,
    residence,
    ...outcome === "whole" && { times: timesOf(attempt, admitted, residence) },
  };
  if (parts.knowledge.record(observation, now)) {
    parts.metrics.count("upstream_ejected");
    parts.log.write("upstream_ejected", { upstream, outcome, service });
  }
  parts.places.end(attempt.upstream, observation, now);
}

function timesOf(
  { startedAt, firstEventAt, eventCount, latePauses, promptTokens }: Attempt,
  admitted: Admitted,
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
  { crashes, log, tellCrash, timer }: GatewayContext,
): void {
  for (const crash of crashes.confirmCrashes(upstream, timer.now())) {
    log.write("crash_confirmed", { upstream, fingerprint: crash.fingerprint });
    tellCrash(crash);
  }
}
