import type { Milliseconds, Random } from "@wasabivane/common";
import type { Route } from "./types.ts";

/**
 * Callers of streams leave after a gap of the longest of these: two seconds, four
 * targets, eight pauses. The published interface says so.
 */
const LEAST_STREAM_GAP_MS: Milliseconds = 2_000;
const GAP_TARGETS = 4;
const GAP_PAUSES = 8;
/** Part of the time that a caller waits in which a start still serves it. */
const USEFUL_SHARE = 0.75;
/**
 * Part of the time that a caller waits in which its request is tried whatever answers
 * took lately. What is refused teaches nothing, so a belief alone must never refuse.
 */
const TRYING_SHARE = 0.25;
/** Callers come back at most after this part of the time that they have left. */
const RETURN_SHARE = 0.3;
const LEAST_RETURN_MS: Milliseconds = 150;
/** Callers that were refused together come back spread over this part of the wait. */
const RETURN_SPREAD = 0.5;

/** Bounds for the start of a request. */
export interface StartBounds {
  /** Started until then, its answer is on time. */
  readonly onTimeUntil: Milliseconds;
  /** Started later, its caller is likely gone before anything arrives. */
  readonly usefulUntil: Milliseconds;
}

/** How long a caller bears it that nothing comes; plain answers are waited for to the end. */
export function callerIdleTimeout(
  { isStreaming, target, pauseTarget }: Route,
): Milliseconds {
  if (!isStreaming) return Infinity;
  return Math.max(
    LEAST_STREAM_GAP_MS,
    GAP_TARGETS * target,
    GAP_PAUSES * pauseTarget,
  );
}

/** How long after its arrival a request's caller bears it that nothing comes. */
export function firstByteTimeout(
  route: Route,
  timeLeft: Milliseconds,
): Milliseconds {
  return Math.min(callerIdleTimeout(route), timeLeft);
}

/** Works out until when a start serves the caller; times are on one clock. */
export function computeStartBounds(
  { arrivedAt, target, firstByteTimeout: timeout, latency }: {
    arrivedAt: Milliseconds;
    /** Time from arrival until the first event or the whole answer is due. */
    target: Milliseconds;
    /** See {@link firstByteTimeout}. */
    firstByteTimeout: Milliseconds;
    /** Usual time from the start to the first event or whole answer. */
    latency: Milliseconds;
  },
): StartBounds {
  return {
    onTimeUntil: arrivedAt + target - latency,
    usefulUntil: arrivedAt +
      Math.max(TRYING_SHARE * timeout, USEFUL_SHARE * timeout - latency),
  };
}

/**
 * When a refused caller should come back: after what is ahead has started, no
 * later than it will wait, and not together with the others.
 */
export function computeRetryDelay(
  { wait: expected, timeLeft }: {
    /** Time until what is ahead has started. */
    wait: Milliseconds;
    timeLeft: Milliseconds;
  },
  random: Random,
): Milliseconds {
  const longest = Math.max(LEAST_RETURN_MS, RETURN_SHARE * timeLeft);
  const wait = Math.min(longest, Math.max(LEAST_RETURN_MS, expected));
  return wait * (1 - RETURN_SPREAD * random.float());
}
