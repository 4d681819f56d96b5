/** Order of queued requests by tier and by position within a tier. */
import type {
  ClientAccountId,
  Milliseconds,
  RequestId,
  Tier,
} from "@wasabivane/common";
import type { Rank } from "./startRates.ts";

/**
 * Order within a tier: continuations, requests that can be on time, late
 * requests.
 */
const CONTINUATION = 0;
const ON_TIME = 1;
const LATE = 2;
const RANKS_PER_TIER = 3;

/** A request in a queue. */
export interface QueuedRequest {
  readonly request: RequestId;
  readonly tier: Tier;
  readonly since: Milliseconds;
  /** Latest start for a response that is on time. */
  readonly onTimeUntil: Milliseconds;
  /** Latest start for a response that is of use to the caller. */
  readonly usefulUntil: Milliseconds;
  /** Expected time in a slot, above 0. */
  readonly slotTime: Milliseconds;
  /**
   * Whether it continues work that an upstream has started and its caller still
   * waits for.
   */
  readonly isContinuation?: boolean;
  /** Requests without an account form one account. */
  readonly account?: ClientAccountId;
}

/** Whether a request continues work that an upstream has started. */
export function isContinuation({ isContinuation }: QueuedRequest): boolean {
  return isContinuation === true;
}

/** Whether a request can no longer be on time; continuations never count. */
export function isLate(item: QueuedRequest, now: Milliseconds): boolean {
  return !isContinuation(item) && item.onTimeUntil <= now;
}

/** Returns the latest start of a request that is as good as one now. */
export function latestStartOf(
  item: QueuedRequest,
  now: Milliseconds,
): Milliseconds {
  return isLate(item, now) ? item.usefulUntil : item.onTimeUntil;
}

/** Returns the rank that a request has at a given time. */
export function rankOf(item: QueuedRequest, now: Milliseconds): Rank {
  const position = isContinuation(item)
    ? CONTINUATION
    : isLate(item, now)
    ? LATE
    : ON_TIME;
  return RANKS_PER_TIER * item.tier + position;
}

/** Ranks of the tiers that have been asked for. */
const RANKS = new Map<Tier, readonly Rank[]>();

/** Returns the ranks of a tier, the first one first. */
export function ranksOf(tier: Tier): readonly Rank[] {
  let ranks = RANKS.get(tier);
  if (ranks === undefined) {
    const first = RANKS_PER_TIER * tier;
    ranks = Array.from(
      { length: RANKS_PER_TIER },
      (_, position) => first + position,
    );
    RANKS.set(tier, ranks);
  }
  return ranks;
}

/**
 * Whether a request of a rank waits for those of another rank of its tier. Late
 * requests count only late ones, whose start rate is measured by itself.
 */
export function waitsFor(rank: Rank, other: Rank): boolean {
  return other < rank && !isLateRank(rank);
}

/** Returns the ranks whose starts a request of a rank waits for. */
export function ranksWaitedFor(rank: Rank): readonly Rank[] {
  return isLateRank(rank) ? [rank] : ranksOf(tierOf(rank));
}

/** Returns the tier of a rank. */
export function tierOf(rank: Rank): Tier {
  return Math.floor(rank / RANKS_PER_TIER) as Tier;
}

/** Whether a rank is that of late requests. */
export function isLateRank(rank: Rank): boolean {
  return rank % RANKS_PER_TIER === LATE;
}

/** Whether requests of a rank become late with time. */
export function isOnTimeRank(rank: Rank): boolean {
  return rank % RANKS_PER_TIER === ON_TIME;
}

/**
 * Returns the priority value within a rank and an account: by due time, or by
 * arrival for late requests and continuations.
 */
export function priorityOf(
  item: QueuedRequest,
  now: Milliseconds,
): Milliseconds {
  return isLate(item, now) || isContinuation(item)
    ? item.since
    : item.onTimeUntil;
}
