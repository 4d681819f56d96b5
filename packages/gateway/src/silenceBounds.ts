import type { Route } from "@wasabivane/admission";
import type { Milliseconds } from "@wasabivane/common";

/** So many times the usual latency are no sign of trouble. */
const USUAL_LATENCIES = 4;
/** A second try that starts after this part of the target can still be on time. */
const TARGET_SHARE = 0.8;
/** Pauses of so many times the target make the answer late already. */
const PAUSE_TARGETS = 2;

/** Longest wait for a first event or a whole answer before another upstream is tried. */
export function firstWaitOf(route: Route, latency: Milliseconds): Milliseconds {
  return Math.max(TARGET_SHARE * route.target, USUAL_LATENCIES * latency);
}

/** Longest pause in a stream before it is continued elsewhere. */
export function pauseWaitOf(route: Route): Milliseconds | undefined {
  return route.isStreaming && route.pauseTarget > 0
    ? PAUSE_TARGETS * route.pauseTarget
    : undefined;
}
