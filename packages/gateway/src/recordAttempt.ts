import type { Milliseconds } from "@wasabivane/common";
import type {
  AttemptObservation,
  ResponseTimings,
  UpstreamOutcome,
} from "@wasabivane/admission";
import type { Attempt, AttemptEnd } from "./attempt.ts";
import { expectedTokensOf, promptTokensOf } from "./attemptPlan.ts";
import type { UnfinishedRequest } from "./crashChecks.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { AdmittedRequest } from "./requestAdmission.ts";
import type { RequestTraits } from "./requestTraits.ts";

/** Outcomes of a request that may have crashed its upstream. */
const CRASH_SIGNS: ReadonlySet<UpstreamOutcome> = new Set(["broken", "silent"]);

/** The request and the outcome that an attempt is recorded with. */
export interface AttemptRecord {
  readonly context: GatewayContext;
  readonly admitted: AdmittedRequest;
  readonly traits: RequestTraits;
  readonly end: AttemptEnd;
}

/**
 * Records an attempt's outcome in the upstream's statistics, health and crash
 * history, and frees its slot.
 */
export function recordAttempt(
  attempt: Attempt,
  { context, admitted, traits, end }: AttemptRecord,
): void {
  // To the upstream, it is a request that this host aborted.
  const outcome = end.isOutOfMemory === true ? "cancelled" : end.outcome;
  const { service } = admitted;
  const { upstream } = attempt.upstream;
  const now = context.timer.now();
  const residence = now - attempt.startedAt;
  const observation: AttemptObservation = {
    upstream,
    service,
    outcome,
    residence,
    ...outcome === "whole" &&
      { times: createTimings(attempt, admitted, residence) },
  };
  try {
    recordCrashSigns(attempt, {
      context,
      admitted,
      traits,
      end: { ...end, outcome },
    });
    if (outcome === "replaced") context.removeReplaced(upstream);
    if (!end.wasSent && outcome !== "cancelled") {
      context.metrics.count("slots_unused");
      context.metrics.count("slots_unused_ms", Math.round(residence));
    }
    if (context.upstreamStats.record(observation, now)) {
      context.metrics.count("upstream_ejected");
      context.log.write("upstream_ejected", { upstream, outcome, service });
    }
  } finally {
    context.placementClient.end(attempt.upstream, observation, now);
  }
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

/** Records what an outcome tells about crashes of the upstream. */
function recordCrashSigns(
  { upstream, startedAt }: Attempt,
  { context, admitted, traits, end: { outcome, wasSent, framing } }:
    AttemptRecord,
): void {
  const { crashChecks, timer } = context;
  const { requestId } = admitted.metadata;
  const request = { requestId, traits, upstream, sentAt: startedAt };
  if (wasSent && CRASH_SIGNS.has(outcome)) crashChecks.recordBreak(request);
  if (wasSent && outcome === "cancelled") crashChecks.recordAbort(request);
  if (hasEnded(outcome, context)) crashChecks.confirm(upstream.upstream);
  if (outcome !== "whole") return;
  crashChecks.recordCompletion(upstream.upstream, startedAt);
  const at = timer.now();
  if (framing !== "connection") {
    return recordCompletion(request, { context, at });
  }
  crashChecks.recordUnframedEnd(
    request,
    () => recordCompletion(request, { context, at }),
  );
}

/** Records that a request has not crashed its upstream. */
function recordCompletion(
  { traits: { fingerprint, parts }, upstream }: UnfinishedRequest,
  { context, at }: { context: GatewayContext; at: Milliseconds },
): void {
  const { crashes, partCrashes, announceCompletion, announcePartCompletion } =
    context;
  const completion = { fingerprint, at };
  if (crashes.recordCompletion(completion)) announceCompletion(completion);
  if (parts.length === 0) return;
  const { softwareVersion } = upstream;
  const news = partCrashes.recordOwnCompletion(parts, { at, softwareVersion });
  for (const each of news) announcePartCompletion(each);
}

/** Whether an outcome shows that the upstream, not this host's link, is gone. */
function hasEnded(
  outcome: UpstreamOutcome,
  { upstreamStats, timer }: GatewayContext,
): boolean {
  if (outcome === "replaced") return true;
  return outcome === "unreachable" &&
    !upstreamStats.links.isCutOff(timer.now());
}
