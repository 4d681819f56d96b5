import { firstEventTimeout, pauseTimeout } from "@wasabivane/admission";
import type { Milliseconds } from "@wasabivane/common";
import type { SilencePatience } from "./attempt.ts";
import type { PlannedSend } from "./attemptPlan.ts";

/** How often it is looked again whether another upstream has come up meanwhile. */
const LOOK_AGAIN_MS: Milliseconds = 250;

/** What a {@link SilencePatience} is judged from. */
export interface SilenceInputs extends
  Pick<
    PlannedSend,
    "parts" | "admitted" | "upstream" | "canRepeat" | "hasOther"
  > {
  /** Tokens that the upstream reads before the first event, those ahead included. */
  readonly promptTokens: number;
}

/**
 * Judges an upstream's silence by what it has to do. While no other upstream could
 * follow, any silence is borne: a late answer serves its caller, a cut one does not.
 */
export function silencePatience(
  inputs: SilenceInputs,
): SilencePatience | undefined {
  const { parts: { knowledge, timer }, admitted, canRepeat } = inputs;
  if (!canRepeat) return undefined;
  const { service } = admitted;
  const { upstream } = inputs.upstream;
  const { promptTokens } = inputs;
  const latency = knowledge.firstEvents.expected(service, {
    upstream,
    promptTokens,
  });
  const whileAlone = (
    since: Milliseconds,
    borne: Milliseconds | undefined,
  ): Milliseconds | undefined => {
    if (inputs.hasOther()) return borne;
    return timer.now() - since + LOOK_AGAIN_MS;
  };
  return {
    first: (since) =>
      whileAlone(since, firstEventTimeout(admitted.route, latency)),
    pause: (since) => whileAlone(since, pauseSince(since, inputs)),
  };
}

function pauseSince(
  since: Milliseconds,
  { parts, admitted, upstream: { upstream }, promptTokens }: SilenceInputs,
): Milliseconds | undefined {
  const { route, service, says } = admitted;
  const { knowledge, signs, timer } = parts;
  const moved = signs.lastEventOfOthers(upstream, says.requestId);
  return pauseTimeout(route, {
    prefillTime: knowledge.firstEvents.prefillTime(service, {
      upstream,
      promptTokens,
    }),
    otherProgressTime: moved === undefined ? 0 : moved - since,
    isEjected: knowledge.health.isEjected(upstream, timer.now()),
  });
}
