import { firstEventTimeout, pauseTimeout } from "@wasabivane/admission";
import type { Milliseconds } from "@wasabivane/common";
import type { SilenceTimeouts } from "./attempt.ts";
import type { AttemptInputs } from "./attemptPlan.ts";

/** Interval at which the availability of another upstream is checked again. */
const RECHECK_MS: Milliseconds = 250;

/** Inputs of {@link computeSilenceTimeouts}. */
export interface SilenceInputs extends
  Pick<
    AttemptInputs,
    "context" | "admitted" | "upstream" | "canRetry" | "hasAlternative"
  > {
  /**
   * Tokens that the upstream processes before the first event, queued prompts
   * included.
   */
  readonly promptTokens: number;
}

/**
 * Computes the timeouts for an upstream's silence from its load. There is no
 * limit while no other upstream is available, since a late response is better
 * than none.
 */
export function computeSilenceTimeouts(
  inputs: SilenceInputs,
): SilenceTimeouts | undefined {
  const { context: { upstreamStats, timer }, admitted, canRetry } = inputs;
  if (!canRetry) return undefined;
  const { service } = admitted;
  const { upstream } = inputs.upstream;
  const { promptTokens } = inputs;
  const latency = upstreamStats.firstEvents.expected(service, {
    upstream,
    promptTokens,
  });
  const limitIfAlternative = (
    since: Milliseconds,
    timeout: Milliseconds | undefined,
  ): Milliseconds | undefined => {
    if (inputs.hasAlternative()) return timeout;
    return timer.now() - since + RECHECK_MS;
  };
  return {
    firstEvent: (since) =>
      limitIfAlternative(since, firstEventTimeout(admitted.route, latency)),
    nextEvent: (since) =>
      limitIfAlternative(since, pauseTimeoutSince(since, inputs)),
  };
}

function pauseTimeoutSince(
  since: Milliseconds,
  { context, admitted, upstream: { upstream }, promptTokens }: SilenceInputs,
): Milliseconds | undefined {
  const { route, service, metadata } = admitted;
  const { upstreamStats, upstreamActivity, timer } = context;
  const lastProgressAt = upstreamActivity.lastEventOfOthers(
    upstream,
    metadata.requestId,
  );
  return pauseTimeout(route, {
    prefillTime: upstreamStats.firstEvents.prefillTime(service, {
      upstream,
      promptTokens,
    }),
    otherProgressTime: lastProgressAt === undefined
      ? 0
      : lastProgressAt - since,
    isEjected: upstreamStats.health.isEjected(upstream, timer.now()),
  });
}
