import type { Milliseconds } from "@wasabivane/common";

/** When to come back after a refusal for want of any upstream: about the lag of the host list. */
export const NO_UPSTREAM_RETRY_MS: Milliseconds = 2_000;
/** Waiting requests for each upstream that `LeastOutstandingScheduler` holds. */
export const QUEUE_LIMIT_PER_UPSTREAM = 16;
/** When to come back after `LeastOutstandingScheduler` found its queue full. */
export const QUEUE_FULL_RETRY_MS: Milliseconds = 1_000;
