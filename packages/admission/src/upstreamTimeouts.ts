import type { Milliseconds } from "@wasabivane/common";
import { callerIdleTimeout } from "./callerTimeouts.ts";
import type { Route } from "./types.ts";

/** Multiple of the expected latency that is no sign of failure. */
const LATENCY_FACTOR = 4;
/** A retry that starts within this share of the target can still be on time. */
const TARGET_SHARE = 0.8;
/** Pauses of this multiple of the target make a response late in any case. */
const PAUSE_TARGET_FACTOR = 2;
/**
 * Factor by which prefill may take longer than expected; long prompts cost more
 * per token.
 */
const PREFILL_FACTOR = 2;
/**
 * Share of the caller's idle timeout after which there must be time for another
 * upstream.
 */
const IDLE_TIMEOUT_SHARE = 0.5;

/** What is known about an upstream that sends nothing. */
export interface PauseContext {
  /** Expected time to process the prompts of all hosts that it has received. */
  readonly prefillTime: Milliseconds;
  /** How long into the pause it continued other requests. */
  readonly otherProgressTime: Milliseconds;
  /** Whether it was ejected for other failures. */
  readonly isEjected: boolean;
}

/**
 * Returns how long to wait for the first event or the complete response before
 * trying another upstream.
 */
export function firstEventTimeout(
  route: Route,
  latency: Milliseconds,
): Milliseconds {
  return Math.max(TARGET_SHARE * route.target, LATENCY_FACTOR * latency);
}

/**
 * Returns how long a stream may pause before it is continued at another
 * upstream; `undefined` if unlimited.
 *
 * Upstreams process long prompts in chunks between the tokens of their streams,
 * which can pause all of them for seconds. Such a stream should not be
 * restarted, as a late response still serves its caller. An upstream that
 * continues other streams or has no prompts to process gets no extra time.
 */
export function pauseTimeout(
  route: Route,
  { prefillTime, otherProgressTime, isEjected }: PauseContext,
): Milliseconds | undefined {
  if (!route.isStreaming || route.pauseTarget <= 0) return undefined;
  const minimum = PAUSE_TARGET_FACTOR * route.pauseTarget;
  if (isEjected || otherProgressTime > route.pauseTarget) return minimum;
  const maximum = Math.max(
    minimum,
    IDLE_TIMEOUT_SHARE * callerIdleTimeout(route),
  );
  return Math.min(maximum, minimum + PREFILL_FACTOR * prefillTime);
}
