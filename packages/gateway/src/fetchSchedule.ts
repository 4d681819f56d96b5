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
  /** Fetches from a peer; does not reject. */
  readonly fetch: (peer: HostId) => Promise<void>;
}

/**
 * Decides when newer contents of the store are fetched, and from which of the
 * peers that announce them. What a fetch under way will bring is not fetched
 * from another peer, unless the fetch is slow or fails.
 */
export class FetchSchedule {
  readonly #options: FetchScheduleOptions;
  readonly #pending = new Map<HostId, PendingFetch>();
  /** The newest announcement that no fetch was started for. */
  #waiting: Announcement | undefined;
  #lastStartedAt: Milliseconds = -Infinity;
  #nextStart: TimerSubscription | undefined;

  constructor(options: FetchScheduleOptions) {
    this.#options = options;
  }

  /** Handles what a peer has, and fetches it if it is newer. */
  announce(announced: Announcement): void {
    if (!this.#options.isNewer(announced)) return;
    if (this.#isPreferred(announced)) this.#waiting = announced;
    this.#startDue();
  }

  /** Fetches from a peer at once, unless too many fetches are under way. */
  async fetchFrom(announced: Announcement): Promise<void> {
    const { timer, fetch } = this.#options;
    const { peer } = announced;
    if (this.#pending.has(peer) || this.#isFull) return;
    this.#lastStartedAt = timer.now();
    this.#pending.set(peer, { announced, startedAt: this.#lastStartedAt });
    await fetch(peer);
    this.#pending.delete(peer);
    this.#startDue();
  }

  /** Starts no further scheduled fetches. */
  close(): void {
    this.#waiting = undefined;
    this.#nextStart?.cancel();
  }

  get #isFull(): boolean {
    return this.#pending.size >= MAXIMUM_CONCURRENT_FETCHES;
  }

  /** Whether an announcement replaces the waiting one. */
  #isPreferred(announced: Announcement): boolean {
    const waiting = this.#waiting;
    if (waiting === undefined) return true;
    if (!covers(waiting, announced)) return true;
    return this.#pending.has(waiting.peer) && covers(announced, waiting);
  }

  #startDue(): void {
    const { timer, isNewer } = this.#options;
    this.#nextStart?.cancel();
    const waiting = this.#waiting;
    if (waiting === undefined) return;
    if (!isNewer(waiting)) {
      this.#waiting = undefined;
      return;
    }
    // The end of a fetch under way starts the next one.
    if (this.#pending.has(waiting.peer) || this.#isFull) return;
    const wait = this.#startAt(waiting) - timer.now();
    if (wait > 0) {
      this.#nextStart = timer.after(wait, () => this.#startDue());
      return;
    }
    this.#waiting = undefined;
    void this.fetchFrom(waiting);
  }

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
