import { bearablePause, bearableWait } from "@wasabivane/admission";
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
  const { parts: { scheduler, timer }, admitted, canRepeat } = inputs;
  if (!canRepeat) return undefined;
  const { service } = admitted;
  const { upstream } = inputs.upstream;
  const { promptTokens } = inputs;
  const latency = scheduler.firstEvents.expected(service, {
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
    first: (since) => whileAlone(since, bearableWait(admitted.route, latency)),
    pause: (since) => whileAlone(since, pauseSince(since, inputs)),
  };
}

function pauseSince(
  since: Milliseconds,
  { parts: { scheduler, timer }, admitted, upstream: { upstream } }:
    SilenceInputs,
): Milliseconds | undefined {
  const { route, service, says } = admitted;
  const moved = scheduler.signs.besides(upstream, says.attempt);
  return bearablePause(route, {
    reading: scheduler.firstEvents.reading(service, {
      upstream,
      promptTokens: scheduler.load.unreadTokens(upstream),
    }),
    movedFor: moved === undefined ? 0 : moved - since,
    isEjected: scheduler.health.isEjected(upstream, timer.now()),
  });
}
