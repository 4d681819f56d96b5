import type { FailureDomain, HostId, Milliseconds } from "@wasabivane/common";
import { type Cell, cellKeyOf } from "./cells.ts";
import { hashWeight } from "./hashWeight.ts";

/**
 * Hosts younger than this rank behind older ones. Until all hosts know a new
 * host, some would still use the previous coordinator and both would fill the
 * same slots.
 */
const MINIMUM_AGE_MS: Milliseconds = 4_000;

/** Machines with fewer cores than this count as equal. */
const MINIMUM_CORES = 0.05;

/** A live host that may coordinate a cell. */
export interface CoordinatorCandidate {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  /** Time since its process started. */
  readonly age: Milliseconds;
  /** Processor cores available to it; may be fractional. */
  readonly cores: number;
}

/**
 * Ranks the hosts by which they coordinate a cell: established hosts first,
 * then those in its failure domain, then larger machines, then by rendezvous
 * hash. The next in rank takes over from an unresponsive one.
 *
 * A coordinator also does the work of its own callers; on the smallest machines
 * a burst would leave it too little processor time to reply in time.
 */
export function rankCoordinators(
  cell: Cell,
  candidates: readonly CoordinatorCandidate[],
): HostId[] {
  const key = cellKeyOf(cell);
  const ranked = candidates.map(({ host, failureDomain, age, cores }) => ({
    host,
    size: sizeOf(cores),
    isNew: age < MINIMUM_AGE_MS,
    isInOtherDomain: cell.failureDomain !== undefined &&
      failureDomain !== cell.failureDomain,
    weight: hashWeight(key, host),
  }));
  ranked.sort((left, right) =>
    Number(left.isNew) - Number(right.isNew) ||
    Number(left.isInOtherDomain) - Number(right.isInOtherDomain) ||
    right.size - left.size ||
    right.weight - left.weight
  );
  return ranked.map(({ host }) => host);
}

/**
 * Returns the size class of a machine, in powers of two so that small
 * differences do not move a cell.
 */
function sizeOf(cores: number): number {
  return Math.round(Math.log2(Math.max(cores, MINIMUM_CORES)));
}
