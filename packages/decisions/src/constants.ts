import type { Milliseconds } from "@wasabivane/common";

/**
 * Retry delay when no upstream is available: about the propagation time of the
 * host list.
 */
export const NO_UPSTREAM_RETRY_MS: Milliseconds = 2_000;
/** Default queue limit of `LeastOutstandingScheduler` for each upstream. */
export const QUEUE_LIMIT_PER_UPSTREAM = 16;
/** Retry delay when the queue of `LeastOutstandingScheduler` is full. */
export const QUEUE_FULL_RETRY_MS: Milliseconds = 1_000;
