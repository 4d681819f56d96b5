import type { Milliseconds, Random } from "@wasabivane/common";

/**
 * Longest watch, as a share of the revocation bound, of a host that reads the
 * store alone, and shortest watch otherwise. An empty response confirms the
 * policy, so the duration limits the age of the confirmation.
 */
const SINGLE_READER_DURATION_SHARE = 0.16;
/**
 * Longest watch of a host whose peers also read the store and share their
 * confirmations. Durations are drawn at random, because a change ends the
 * watches of all hosts at once and equal durations would keep them
 * synchronized. Stays below the share of the bound for which a confirmation is
 * valid.
 */
const SHARED_DURATION_SHARE = 0.6;
/** Bounds the time until a dead connection is noticed. */
const MAXIMUM_DURATION_MS: Milliseconds = 3_000;
/**
 * Shortest watch right after a change. Its response confirms the policy only as
 * of the request, and unknown keys cannot be denied until the next
 * confirmation.
 */
const SETTLING_DURATION_SHARE = 0.04;
/**
 * Number of reading peers from which their confirmations arrive often enough.
 */
const MINIMUM_SHARING_PEERS = 3;

/** What the duration of a watch depends on. */
export interface WatchContext {
  /** A revoked key must be rejected within this time. */
  readonly revocationBound: Milliseconds;
  /** Number of peers that watch too and share their confirmations. */
  readonly readingPeers: number;
  /** Whether the last response reported a change. */
  readonly hasJustChanged: boolean;
}

/**
 * Draws how long one watch of the store waits for a change, within the bounds
 * set by the cost of each response and by the age of the last confirmation.
 */
export function drawWatchDuration(
  { revocationBound, readingPeers, hasJustChanged }: WatchContext,
  random: Random,
): Milliseconds {
  const settling = boundedDuration(SETTLING_DURATION_SHARE * revocationBound);
  const single = boundedDuration(
    SINGLE_READER_DURATION_SHARE * revocationBound,
  );
  const shared = boundedDuration(SHARED_DURATION_SHARE * revocationBound);
  const isSingleReader = readingPeers < MINIMUM_SHARING_PEERS;
  const minimum = hasJustChanged ? settling : single;
  const maximum = hasJustChanged || isSingleReader ? single : shared;
  return Math.round(minimum + (maximum - minimum) * random.float());
}

function boundedDuration(span: Milliseconds): Milliseconds {
  return Math.round(Math.min(MAXIMUM_DURATION_MS, span));
}
