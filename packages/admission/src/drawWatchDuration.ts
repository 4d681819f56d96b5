import type { Milliseconds, Random } from "@wasabivane/common";

/**
 * Wait of one watch of a host that reads alone, of the bound within which keys must
 * stop working. An empty answer proves that nothing changed until its wait was
 * over, and the proof must not grow old: 0.8 s of 5 s.
 */
const LONE_WAIT_SHARE = 0.16;
/**
 * Longest wait of a host whose peers read the store too and pass their proofs on.
 * Waits are drawn between the two: a change answers all watches at once, and with
 * equal waits all proofs would be equally old from then on. 3 s of 5 s, below the
 * time for which a proof serves.
 */
const SHARED_WAIT_SHARE = 0.6;
/** A connection that went silent is noticed only when a wait is over. */
const LONGEST_WAIT_MS: Milliseconds = 3_000;
/**
 * Shortest wait right after a change. Its answer proves freshness only as of when
 * it was asked; until the next proof, "no such key" may not be said.
 */
const SETTLING_WAIT_SHARE = 0.04;
/** Peers that read, from which on their proofs come often enough. */
const SHARING_PEERS = 3;

/** What a host knows when it begins to watch for changes. */
export interface WatchContext {
  /** Within this time of being withdrawn, a key must have stopped working. */
  readonly revocationBound: Milliseconds;
  /** Peers that watch too and pass on that nothing changed. */
  readonly readingPeers: number;
  /** The last answer told of a change. */
  readonly hasJustChanged: boolean;
}

/**
 * Draws how long one watch waits for a change.
 *
 * Answers two loads on the store and the callers: each answer is a call that is
 * paid for, and the age of the last proof bounds which requests may be served.
 */
export function drawWatchDuration(
  { revocationBound, readingPeers, hasJustChanged }: WatchContext,
  random: Random,
): Milliseconds {
  const settling = waitOf(SETTLING_WAIT_SHARE * revocationBound);
  const lone = waitOf(LONE_WAIT_SHARE * revocationBound);
  const shared = waitOf(SHARED_WAIT_SHARE * revocationBound);
  const isAlone = readingPeers < SHARING_PEERS;
  const least = hasJustChanged ? settling : lone;
  const most = hasJustChanged || isAlone ? lone : shared;
  return Math.round(least + (most - least) * random.float());
}

function waitOf(span: Milliseconds): Milliseconds {
  return Math.round(Math.min(LONGEST_WAIT_MS, span));
}
