import type { Digest, Milliseconds, UpstreamId } from "@wasabivane/common";
import type { Attempt, AttemptEnd } from "./attempt.ts";
import { expectedTokensOf } from "./attemptPlan.ts";
import type { GatewayParts } from "./gatewayParts.ts";
import type { Admitted } from "./intake.ts";

/** What an attempt was about. */
export interface LessonContext {
  readonly parts: GatewayParts;
  readonly admitted: Admitted;
  readonly fingerprint: Digest;
  readonly end: AttemptEnd;
}

/** Takes in what one attempt showed of its upstream: speed, health, crashes, a free place. */
export function learnFrom(
  attempt: Attempt,
  context: LessonContext,
): void {
  const { parts, admitted: { service }, fingerprint } = context;
  const { outcome, wasSent } = context.end;
  const { upstream } = attempt.upstream;
  const now = parts.timer.now();
  const residence = now - attempt.startedAt;
  if (outcome === "whole") learnTimes(attempt, { ...context, residence });
  if (outcome === "broken" && wasSent) {
    parts.crashes.noteBroken({ fingerprint, upstream, at: now });
  }
  if (outcome === "replaced") parts.dropReplaced(upstream);
  if (outcome === "unreachable") confirmCrashes(upstream, parts);
  if (parts.scheduler.health.observe(upstream, outcome, now)) {
    parts.metrics.count("upstream_ejected");
    parts.log.write("upstream_ejected", { upstream, outcome, service });
  }
  parts.scheduler.end(attempt.upstream, { outcome, residence, now });
}

/** A stream shows its speed by its pauses, a plain answer by its whole time. */
function learnTimes(
  {
    upstream: { upstream },
    startedAt,
    firstEventAt,
    eventCount,
    latePauses,
    promptTokens,
  }: Attempt,
  { parts: { scheduler }, admitted, residence }: LessonContext & {
    residence: Milliseconds;
  },
): void {
  const { service, route: { route } } = admitted;
  const latency = (firstEventAt ?? startedAt + residence) - startedAt;
  scheduler.firstEvents.observe({
    service,
    upstream,
    promptTokens,
    duration: latency,
  });
  scheduler.answerTimes.observe({
    route,
    service,
    upstream,
    expectedTokens: expectedTokensOf(admitted),
    duration: residence - latency,
  });
  if (firstEventAt !== undefined) {
    const duration = residence - latency;
    scheduler.pauses.observe({ service, upstream, latePauses, duration });
  }
  if (firstEventAt !== undefined && eventCount <= 1) return;
  const duration = firstEventAt === undefined
    ? residence
    : (residence - latency) / (eventCount - 1);
  scheduler.speed.observe({ service, upstream, duration });
}

function confirmCrashes(
  upstream: UpstreamId,
  { crashes, log, tellCrash, timer }: GatewayParts,
): void {
  for (const crash of crashes.noteDown(upstream, timer.now())) {
    log.write("crash_confirmed", { upstream, fingerprint: crash.fingerprint });
    tellCrash(crash);
  }
}
