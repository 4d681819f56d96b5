import type { Branded, FailureDomain, ServiceId } from "@wasabivane/common";
import { HASH_WEIGHT_COUNT, hashWeight } from "./hashWeight.ts";
import type { Upstream } from "./types.ts";

/**
 * Target number of slots in a cell. Larger cells can overload their
 * coordinator in a burst: its replies come late, and hosts schedule locally. In
 * smaller ones free slots of one cell stay unused while
 * requests queue in another.
 */
const TARGET_CELL_SLOTS = 120;
/** Bounds the work that upstreams with many slots cause; most cells are empty then. */
const MAXIMUM_CELLS_PER_UPSTREAM = 8;

/** Identifies a {@link Cell}; equal on every host. */
export type CellKey = Branded<string, "CellKey">;

/**
 * A group of upstreams of one service that share one queue and one coordinator.
 */
export interface Cell {
  readonly service: ServiceId;
  /**
   * Failure domain of its upstreams; `undefined` if the service has a single
   * cell.
   */
  readonly failureDomain: FailureDomain | undefined;
  /** Index among the cells of its failure domain. */
  readonly index: number;
  /** Number of cells in the failure domain. */
  readonly count: number;
}

/** Returns the key of a cell. */
export function cellKeyOf(
  { service, failureDomain, index, count }: Cell,
): CellKey {
  return `${service}|${failureDomain ?? ""}|${index}/${count}` as CellKey;
}

/**
 * Partitions the upstreams of a service into cells of bounded size: a single
 * cell if they are few, else by failure domain, as traffic between domains is
 * charged, and by hash within a domain. Counts are powers of two, so they
 * rarely change as upstreams come and go. Hosts with the same list compute the
 * same cells.
 */
export function partitionIntoCells(
  service: ServiceId,
  upstreams: readonly Upstream[],
): Cell[] {
  if (totalSlots(upstreams) <= TARGET_CELL_SLOTS) {
    return [{ service, failureDomain: undefined, index: 0, count: 1 }];
  }
  const members = new Map<FailureDomain, Upstream[]>();
  for (const upstream of upstreams) {
    const known = members.get(upstream.failureDomain);
    if (known === undefined) members.set(upstream.failureDomain, [upstream]);
    else known.push(upstream);
  }
  return [...members].flatMap(([failureDomain, inDomain]) => {
    const size = Math.min(
      totalSlots(inDomain) / TARGET_CELL_SLOTS,
      MAXIMUM_CELLS_PER_UPSTREAM * inDomain.length,
    );
    const count = 2 ** Math.max(0, Math.ceil(Math.log2(size)));
    return Array.from(
      { length: count },
      (_, index) => ({ service, failureDomain, index, count }),
    );
  });
}

/** Returns the total number of slots of the upstreams. */
export function totalSlots(upstreams: readonly Upstream[]): number {
  return upstreams.reduce((sum, { slots }) => sum + slots, 0);
}

/** Whether an upstream belongs to a cell. */
export function isInCell(
  { service, failureDomain, index, count }: Cell,
  upstream: Upstream,
): boolean {
  if (upstream.service !== service) return false;
  const isInOtherDomain = failureDomain !== undefined &&
    upstream.failureDomain !== failureDomain;
  if (isInOtherDomain) return false;
  if (count === 1) return true;
  const weight = hashWeight("cell", upstream.upstream);
  return Math.floor(weight * count / HASH_WEIGHT_COUNT) === index;
}
