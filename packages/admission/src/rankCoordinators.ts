import type { FailureDomain, HostId, Milliseconds } from "@wasabivane/common";
import { type Cell, cellKeyOf } from "./cells.ts";
import { hashWeight } from "./hashWeight.ts";

/**
 * A host younger than this keeps no cell while there are older ones: until everybody
 * knows it, hosts would turn to two keepers, which fill the same places.
 */
const GROWN_UP_MS: Milliseconds = 4_000;

/** Fewer cores than this are not told apart. */
const LEAST_CORES = 0.05;

/** A live host that may keep a cell. */
export interface CoordinatorCandidate {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  /** Time since its process started. */
  readonly age: Milliseconds;
  /** Processor cores that it may use, also a fraction of one. */
  readonly cores: number;
}

/**
 * The hosts in the order in which they keep a cell: grown-up ones first, those in
 * its failure domain before others, larger machines before smaller, then by a hash on
 * which all agree. The next in order takes over from one that is silent.
 *
 * A keeper does the work of all hosts of its cell beside its own. On the smallest
 * machines of a mixed fleet a burst takes all the processor there is, the keeper
 * answers late, and its hosts go on without it at the worst time.
 */
export function rankCoordinators(
  cell: Cell,
  candidates: readonly CoordinatorCandidate[],
): HostId[] {
  const key = cellKeyOf(cell);
  const ranked = candidates.map(({ host, failureDomain, age, cores }) => ({
    host,
    size: sizeOf(cores),
    isYoung: age < GROWN_UP_MS,
    isFar: cell.failureDomain !== undefined &&
      failureDomain !== cell.failureDomain,
    weight: hashWeight(key, host),
  }));
  ranked.sort((left, right) =>
    Number(left.isYoung) - Number(right.isYoung) ||
    Number(left.isFar) - Number(right.isFar) ||
    right.size - left.size ||
    right.weight - left.weight
  );
  return ranked.map(({ host }) => host);
}

/** Machines count as larger from twice the processor on; less is no reason to move a line. */
function sizeOf(cores: number): number {
  return Math.round(Math.log2(Math.max(cores, LEAST_CORES)));
}
