import type { Milliseconds } from "@wasabivane/common";
import { callerIdleTimeout } from "./callerTimeouts.ts";
import type { Route } from "./types.ts";

/** So many times the usual latency are no sign of trouble. */
const USUAL_LATENCIES = 4;
/** A second try that starts after this part of the target can still be on time. */
const TARGET_SHARE = 0.8;
/** Pauses of so many times the target make the answer late already. */
const PAUSE_TARGETS = 2;
/** Prompts may take so many times as long to read as expected: the longest cost more for each token. */
const READING_FACTOR = 2;
/** Part of the gap that a caller bears after which there must be time for another upstream. */
const GAP_SHARE = 0.5;

/** What an upstream that sends nothing has to do. */
export interface PauseContext {
  /** Expected time until it has read the prompts that it was given, from all hosts. */
  readonly prefillTime: Milliseconds;
  /** For how long of the silence it moved on with other requests. */
  readonly otherProgressTime: Milliseconds;
  /** Whether it was found lost by other signs. */
  readonly isEjected: boolean;
}

/** Longest wait for a first event or a whole answer before another upstream is tried. */
export function firstEventTimeout(
  route: Route,
  latency: Milliseconds,
): Milliseconds {
  return Math.max(TARGET_SHARE * route.target, USUAL_LATENCIES * latency);
}

/**
 * Longest pause in a stream before it is continued elsewhere; `undefined`: any.
 *
 * Answers the load pattern of long prompts among streams: an engine reads them in
 * chunks between the tokens of the others, so that all its streams pause, at a slow
 * engine for seconds. Taken for silent, the stream would be cut and its work begun
 * anew, while a late answer still serves its caller. An engine that moves on with
 * other streams, or has nothing to read, has no such excuse; nor is a caller's own
 * patience used up.
 */
export function pauseTimeout(
  route: Route,
  { prefillTime: reading, otherProgressTime: movedFor, isEjected }:
    PauseContext,
): Milliseconds | undefined {
  if (!route.isStreaming || route.pauseTarget <= 0) return undefined;
  const usual = PAUSE_TARGETS * route.pauseTarget;
  if (isEjected || movedFor > route.pauseTarget) return usual;
  const longest = Math.max(usual, GAP_SHARE * callerIdleTimeout(route));
  return Math.min(longest, usual + READING_FACTOR * reading);
}
