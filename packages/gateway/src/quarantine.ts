import type { Milliseconds } from "@wasabivane/common";
import type { GatewayContext } from "./gatewayContext.ts";
import type { RequestTraits } from "./requestTraits.ts";

/** Returns for how long a request that arrives must not be sent. */
export function quarantineOfNew(
  traits: RequestTraits,
  { crashes, partCrashes, timer, isAlone }: GatewayContext,
): Milliseconds {
  const now = timer.now();
  const ofRequest = crashes.quarantineLeft(traits.fingerprint, now, {
    isAlone: isAlone(),
  });
  return Math.max(ofRequest, partCrashes.quarantineLeft(traits, now));
}

/** Returns for how long a request that was admitted must not be sent again. */
export function quarantineOf(
  traits: RequestTraits,
  { crashes, partCrashes, timer }: GatewayContext,
): Milliseconds {
  const now = timer.now();
  return Math.max(
    crashes.quarantineLeft(traits.fingerprint, now),
    partCrashes.isConvicted(traits, now)
      ? partCrashes.quarantineLeft(traits, now)
      : 0,
  );
}

/** Whether a request that was admitted must not be sent (again). */
export function isQuarantined(
  traits: RequestTraits,
  context: GatewayContext,
): boolean {
  const now = context.timer.now();
  return context.crashes.isQuarantined(traits.fingerprint, now) ||
    context.partCrashes.isConvicted(traits, now);
}
