import type {
  HostId,
  Milliseconds,
  Timer,
  TimerSubscription,
} from "@wasabivane/common";
import type { SnapshotVersions } from "./operatorEndpoints.ts";

/** More than one, so that a hung peer does not block fetches from others. */
const MAXIMUM_CONCURRENT_FETCHES = 2;
/**
 * Time after which another peer is asked for what a fetch under way should
 * bring.
 */
const SLOW_FETCH_MS: Milliseconds = 100;
/**
 * Minimum time between two fetches. Changes that arrive by gossip meanwhile need
 * no fetch, and one fetch brings all others.
 */
const FETCH_INTERVAL_MS: Milliseconds = 50;
/** Enough for a successor where several fetches fail one after the other. */
const MAXIMUM_WAITING_PEERS = 4;

/** The versions that a peer has. */
export interface Announcement extends SnapshotVersions {
  readonly peer: HostId;
}

interface PendingFetch {
  readonly announced: Announcement;
  readonly startedAt: Milliseconds;
}

/** Options of a {@link FetchSchedule}. */
export interface FetchScheduleOptions {
  readonly timer: Timer;
  /** Returns whether this host lacks one of the versions. */
  readonly isNewer: (versions: SnapshotVersions) => boolean;
  /** Fetches from a peer. */
  readonly fetch: (peer: HostId) => Promise<void>;
}

/**
 * Decides when newer contents of the store are fetched, and from which of the
 * peers that announce them. What a fetch under way will bring is not fetched
 * from another peer, unless the fetch is slow or fails. A peer whose fetch failed
 * is asked again once it announces again.
 */
export class FetchSchedule {
  readonly #options: FetchScheduleOptions;
  readonly #pending = new Map<HostId, PendingFetch>();
  /** What peers announced and were not asked for since. */
  readonly #waiting = new Map<HostId, Announcement>();
  #lastStartedAt: Milliseconds = -Infinity;
  #nextStart: TimerSubscription | undefined;

  constructor(options: FetchScheduleOptions) {
    this.#options = options;
  }

  /** Handles what a peer has, and fetches it if it is newer. */
  announce(announced: Announcement): void {
    if (!this.#options.isNewer(announced)) return;
    this.#addWaiting(announced);
    this.#startDue();
  }

  /** Fetches from a peer at once, unless too many fetches are under way. */
  async fetchFrom(announced: Announcement): Promise<void> {
    const { timer, fetch } = this.#options;
    const { peer } = announced;
    if (this.#pending.has(peer) || this.#isFull) return;
    this.#waiting.delete(peer);
    this.#lastStartedAt = timer.now();
    this.#pending.set(peer, { announced, startedAt: this.#lastStartedAt });
    try {
      await fetch(peer);
    } finally {
      this.#pending.delete(peer);
    }
    this.#startDue();
  }

  /** Starts no further scheduled fetches. */
  close(): void {
    this.#waiting.clear();
    this.#nextStart?.cancel();
  }

  get #isFull(): boolean {
    return this.#pending.size >= MAXIMUM_CONCURRENT_FETCHES;
  }

  /** Adds what a peer has to what it announced before. */
  #addWaiting(announced: Announcement): void {
    const { peer } = announced;
    const pending = this.#pending.get(peer);
    if (pending !== undefined && covers(pending.announced, announced)) return;
    const former = this.#waiting.get(peer) ?? announced;
    this.#waiting.set(peer, {
      peer,
      policyVersion: Math.max(former.policyVersion, announced.policyVersion),
      listRevision: Math.max(former.listRevision, announced.listRevision),
    });
    if (this.#waiting.size > MAXIMUM_WAITING_PEERS) this.#dropSurplus();
  }

  /** Drops the oldest announcement that is newest neither in policy nor list. */
  #dropSurplus(): void {
    const waiting = [...this.#waiting.values()];
    const newestPolicy = maximumBy(waiting, (one) => one.policyVersion);
    const newestList = maximumBy(waiting, (one) => one.listRevision);
    const surplus = waiting.find((announced) =>
      announced !== newestPolicy && announced !== newestList
    );
    if (surplus !== undefined) this.#waiting.delete(surplus.peer);
  }

  #startDue(): void {
    const { timer } = this.#options;
    this.#nextStart?.cancel();
    this.#dropOutdated();
    // The end of a fetch under way starts the next one.
    if (this.#isFull) return;
    const next = this.#next();
    if (next === undefined) return;
    const wait = this.#startAt(next) - timer.now();
    if (wait > 0) {
      this.#nextStart = timer.after(wait, () => this.#startDue());
      return;
    }
    void this.fetchFrom(next);
    this.#startDue();
  }

  #dropOutdated(): void {
    for (const [peer, announced] of this.#waiting) {
      if (!this.#options.isNewer(announced)) this.#waiting.delete(peer);
    }
  }

  /** Returns the announcement to fetch first: the earliest, then the newest, by policy first. */
  #next(): Announcement | undefined {
    let next: Announcement | undefined;
    for (const announced of this.#waiting.values()) {
      if (this.#pending.has(announced.peer)) continue;
      if (next === undefined || this.#precedes(announced, next)) {
        next = announced;
      }
    }
    return next;
  }

  #precedes(left: Announcement, right: Announcement): boolean {
    const difference = this.#startAt(left) - this.#startAt(right);
    if (difference !== 0) return difference < 0;
    const newerPolicy = this.#newerPolicy(left) - this.#newerPolicy(right);
    if (newerPolicy !== 0) return newerPolicy > 0;
    return left.listRevision > right.listRevision;
  }

  /** Returns the version of an announced policy; 0 if this host has it. */
  #newerPolicy({ policyVersion }: Announcement): number {
    const isNewer = this.#options.isNewer({ policyVersion, listRevision: 0 });
    return isNewer ? policyVersion : 0;
  }

  /** Returns when a fetch of what a peer announced may start. */
  #startAt(wanted: Announcement): Milliseconds {
    let startAt = this.#lastStartedAt + FETCH_INTERVAL_MS;
    for (const { announced, startedAt } of this.#pending.values()) {
      if (!covers(announced, wanted)) continue;
      startAt = Math.max(startAt, startedAt + SLOW_FETCH_MS);
    }
    return startAt;
  }
}

/** Whether a peer that announced `left` has all that `right` tells of. */
function covers(left: SnapshotVersions, right: SnapshotVersions): boolean {
  return left.policyVersion >= right.policyVersion &&
    left.listRevision >= right.listRevision;
}

function maximumBy(
  announcements: readonly Announcement[],
  valueOf: (announced: Announcement) => number,
): Announcement {
  return announcements.reduce((maximum, announced) =>
    valueOf(announced) > valueOf(maximum) ? announced : maximum
  );
}
