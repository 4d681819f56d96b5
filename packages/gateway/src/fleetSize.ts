import type { Milliseconds } from "@wasabivane/common";

/** How long hosts count that are no longer heard. */
const RETENTION_MS: Milliseconds = 600_000;

/**
 * Number of hosts that is assumed while none of those is heard that the settings
 * name: the largest fleet that is planned for.
 */
const UNKNOWN_SIZE = 350;

/** Time in which hosts that start together find each other. */
const DISCOVERY_MS: Milliseconds = 1_500;
/** Time without a further host after which they have. */
const SETTLED_MS: Milliseconds = 150;

/** Options of a {@link FleetSize}. */
export interface FleetSizeOptions {
  readonly startedAt: Milliseconds;
  /** Time after the start in which a former process of the host may count. */
  readonly settling: Milliseconds;
  /** Whether the settings name other hosts. */
  readonly hasSeeds: boolean;
  /** Returns the longest time that a host which is heard has been running. */
  readonly oldestAge: () => Milliseconds;
}

/**
 * Estimates how many hosts may be spending a budget that all share. Hosts that
 * are not heard may go on behind a partition, and a host that has just started
 * may follow on a process that has spent its part.
 */
export class FleetSize {
  readonly #options: FleetSizeOptions;
  #largest = 1;
  #largestAt: Milliseconds = -Infinity;
  /** When a further host was heard. */
  #grownAt: Milliseconds = -Infinity;

  constructor(options: FleetSizeOptions) {
    this.#options = options;
  }

  /** Records the number of hosts that are heard, this one included. */
  record(hosts: number, now: Milliseconds): void {
    const isOutdated = now - this.#largestAt > RETENTION_MS;
    if (hosts < this.#largest && !isOutdated) return;
    if (hosts > this.#largest) this.#grownAt = now;
    this.#largest = hosts;
    this.#largestAt = now;
  }

  /**
   * Returns the largest number of hosts heard lately, which may be spending a
   * budget that does not outlast their processes.
   */
  largest(now: Milliseconds): number {
    return this.#isUnknown(now, RETENTION_MS) ? UNKNOWN_SIZE : this.#largest;
  }

  /**
   * Whether this host has just started and hears none of the others yet, or only
   * such that have just started, too, and are still finding each other.
   */
  isDiscovering(now: Milliseconds): boolean {
    const { hasSeeds, startedAt, oldestAge } = this.#options;
    if (!hasSeeds || now - startedAt > DISCOVERY_MS) return false;
    if (this.#largest === 1) return true;
    return now - this.#grownAt < SETTLED_MS && oldestAge() <= DISCOVERY_MS;
  }

  #isUnknown(now: Milliseconds, span: Milliseconds): boolean {
    const { hasSeeds, startedAt } = this.#options;
    return hasSeeds && this.#largest === 1 && now - startedAt <= span;
  }

  /** Returns the number of hosts; `Infinity` while that is unknown. */
  estimate(now: Milliseconds): number {
    const { startedAt, settling, hasSeeds } = this.#options;
    if (!hasSeeds) return this.#largest;
    const isSettling = now - startedAt < settling;
    return isSettling || this.#largest === 1 ? Infinity : this.#largest;
  }
}
