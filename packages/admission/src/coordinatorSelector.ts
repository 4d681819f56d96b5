import type { HostId, Milliseconds } from "@wasabivane/common";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import {
  type CoordinatorCandidate,
  rankCoordinators,
} from "./rankCoordinators.ts";

/** How long an unresponsive or stopping coordinator is skipped. */
const SKIP_MS: Milliseconds = 3_000;
/** Time after a reply within which reports of peers are ignored. */
const RECENT_REPLY_MS: Milliseconds = 400;
/** Hosts whose replies are remembered. */
const MAXIMUM_REMEMBERED = 1_024;

/** Dependencies and settings of a {@link CoordinatorSelector}. */
export interface CoordinatorSelectorOptions {
  readonly host: HostId;
  /**
   * Hosts that are alive, including this one; the same array until it changes.
   */
  readonly candidates: () => readonly CoordinatorCandidate[];
}

/** Ranked hosts of a cell. */
interface CachedRanking {
  /** Candidates that it was computed from. */
  readonly candidates: readonly CoordinatorCandidate[];
  readonly ranking: readonly HostId[];
  /** Since when the same host has ranked first. */
  readonly firstSince: Milliseconds;
  /** Since when the same two hosts have ranked first and second. */
  readonly secondSince: Milliseconds;
}

/**
 * Selects the coordinator of each cell as this host sees it: the first in rank
 * that is not skipped.
 */
export class CoordinatorSelector {
  readonly #options: CoordinatorSelectorOptions;
  readonly #skipped = new Map<HostId, Milliseconds>();
  readonly #repliedAt = new Map<HostId, Milliseconds>();
  /** Hosts that have not replied since they were skipped, and since when. */
  readonly #unresponsiveSince = new Map<HostId, Milliseconds>();
  readonly #rankings = new Map<CellKey, CachedRanking>();

  constructor(options: CoordinatorSelectorOptions) {
    this.#options = options;
  }

  /** Returns the coordinator of a cell; this host if there is none. */
  coordinatorOf(cell: Cell, now: Milliseconds): HostId {
    const skippedHosts = this.skipped(now);
    const { ranking } = this.#rankingOf(cell, now);
    const first = ranking.find((host) => !skippedHosts.has(host));
    return first ?? this.#options.host;
  }

  /**
   * Returns for how long this host has been in charge of a cell; 0 if it is not.
   * The host that ranks first is, and the second while the first does not reply
   * to it. Unlike the coordinators that hosts use, these are two at most, as
   * connected hosts agree on the ranking.
   */
  timeInCharge(cell: Cell, now: Milliseconds): Milliseconds {
    const { host } = this.#options;
    const { ranking, firstSince, secondSince } = this.#rankingOf(cell, now);
    const [first, second] = ranking;
    if (first === host) return now - firstSince;
    if (first === undefined || second !== host) return 0;
    const unresponsiveSince = this.#unresponsiveSince.get(first) ?? now;
    return now - Math.max(unresponsiveSince, secondSince);
  }

  /** Skips a coordinator that is unresponsive or stops. */
  skip(coordinator: HostId, now: Milliseconds): void {
    this.skipUntil(coordinator, { until: now + SKIP_MS, now });
  }

  /**
   * Skips a coordinator that a peer reports as unresponsive, unless it has just
   * replied to this host. Only the peer or its network may be slow, and each
   * host that follows its report uses another coordinator than the rest.
   */
  applyReport(
    coordinator: HostId,
    { until, now }: { until: Milliseconds; now: Milliseconds },
  ): void {
    const repliedAt = this.#repliedAt.get(coordinator) ?? -Infinity;
    if (now - repliedAt < RECENT_REPLY_MS) return;
    this.skipUntil(coordinator, { until, now });
  }

  /** Skips a coordinator until a given time or its next reply. */
  skipUntil(
    coordinator: HostId,
    { until, now }: { until: Milliseconds; now: Milliseconds },
  ): void {
    if (coordinator === this.#options.host) return;
    this.#skipped.set(coordinator, until);
    if (this.#unresponsiveSince.has(coordinator)) return;
    remember(this.#unresponsiveSince, { host: coordinator, now });
  }

  /** Records a reply of a coordinator and stops skipping it. */
  recordReply(coordinator: HostId, now: Milliseconds): void {
    this.#skipped.delete(coordinator);
    this.#unresponsiveSince.delete(coordinator);
    remember(this.#repliedAt, { host: coordinator, now });
  }

  /** Returns the coordinators that this host skips, and until when. */
  skipped(now: Milliseconds): ReadonlyMap<HostId, Milliseconds> {
    for (const [host, until] of this.#skipped) {
      if (until <= now) this.#skipped.delete(host);
    }
    return this.#skipped;
  }

  #rankingOf(cell: Cell, now: Milliseconds): CachedRanking {
    const key = cellKeyOf(cell);
    const candidates = this.#options.candidates();
    const cached = this.#rankings.get(key);
    if (cached?.candidates === candidates) return cached;
    const ranking = rankCoordinators(cell, candidates);
    const isNewFirst = cached !== undefined && cached.ranking[0] !== ranking[0];
    const isNewSecond = cached !== undefined &&
      cached.ranking[1] !== ranking[1];
    const current = {
      candidates,
      ranking,
      firstSince: isNewFirst ? now : cached?.firstSince ?? -Infinity,
      secondSince: isNewFirst || isNewSecond
        ? now
        : cached?.secondSince ?? -Infinity,
    };
    this.#rankings.set(key, current);
    return current;
  }
}

/** Sets a time, and drops the oldest one if there are too many. */
function remember(
  times: Map<HostId, Milliseconds>,
  { host, now }: { host: HostId; now: Milliseconds },
): void {
  times.delete(host);
  times.set(host, now);
  if (times.size <= MAXIMUM_REMEMBERED) return;
  const [oldest] = times.keys();
  times.delete(oldest!);
}
