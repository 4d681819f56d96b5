import type { Milliseconds, Random } from "@wasabivane/common";
import type { Route } from "./types.ts";

/**
 * Idle timeout of stream callers: the longest of a fixed time and multiples of
 * the latency and pause targets. Part of the published interface.
 */
const MINIMUM_IDLE_TIMEOUT_MS: Milliseconds = 2_000;
const IDLE_TIMEOUT_TARGETS = 4;
const IDLE_TIMEOUT_PAUSES = 8;
/** Share of the first-byte timeout by which a start still serves the caller. */
const USEFUL_START_SHARE = 0.75;
/**
 * Share of the first-byte timeout in which a request is always tried. Refusing
 * on a learned latency alone would yield no new samples, so the latency could
 * never be corrected.
 */
const GUARANTEED_TRY_SHARE = 0.25;
/** Longest retry delay as a share of the time that the caller has left. */
const MAXIMUM_DELAY_SHARE = 0.3;
const MINIMUM_DELAY_MS: Milliseconds = 150;
/** Share of the delay over which retries of callers are spread. */
const DELAY_SPREAD = 0.5;

/** Bounds for the start of a request. */
export interface StartBounds {
  /** A response that starts by then is on time. */
  readonly onTimeUntil: Milliseconds;
  /** A response that starts later likely finds its caller gone. */
  readonly usefulUntil: Milliseconds;
}

/**
 * Returns how long a caller waits without receiving anything; unlimited without
 * streaming.
 */
export function callerIdleTimeout(
  { isStreaming, target, pauseTarget }: Route,
): Milliseconds {
  if (!isStreaming) return Infinity;
  return Math.max(
    MINIMUM_IDLE_TIMEOUT_MS,
    IDLE_TIMEOUT_TARGETS * target,
    IDLE_TIMEOUT_PAUSES * pauseTarget,
  );
}

/**
 * Returns how long after the arrival of a request its caller waits for the
 * first byte.
 */
export function firstByteTimeout(
  route: Route,
  timeLeft: Milliseconds,
): Milliseconds {
  return Math.min(callerIdleTimeout(route), timeLeft);
}

/**
 * Returns the latest useful start times of a request; all times are on one
 * clock.
 */
export function computeStartBounds(
  { arrivedAt, target, firstByteTimeout: timeout, latency }: {
    arrivedAt: Milliseconds;
    /**
     * Time from arrival until the first event or the complete response is due.
     */
    target: Milliseconds;
    /** See {@link firstByteTimeout}. */
    firstByteTimeout: Milliseconds;
    /**
     * Expected time from the start to the first event or the complete response.
     */
    latency: Milliseconds;
  },
): StartBounds {
  return {
    onTimeUntil: arrivedAt + target - latency,
    usefulUntil: arrivedAt +
      Math.max(
        GUARANTEED_TRY_SHARE * timeout,
        USEFUL_START_SHARE * timeout - latency,
      ),
  };
}

/**
 * Returns after which time a refused caller should retry: when the requests
 * ahead of it have started, within the time it has left, and spread at random.
 */
export function computeRetryDelay(
  { wait: expected, timeLeft }: {
    /** Time until the requests ahead have started. */
    wait: Milliseconds;
    timeLeft: Milliseconds;
  },
  random: Random,
): Milliseconds {
  const maximum = Math.max(MINIMUM_DELAY_MS, MAXIMUM_DELAY_SHARE * timeLeft);
  const delay = Math.min(maximum, Math.max(MINIMUM_DELAY_MS, expected));
  return delay * (1 - DELAY_SPREAD * random.float());
}
