import type { Branded, FailureDomain, ServiceId } from "@wasabivane/common";
import { HASH_WEIGHTS, hashWeight } from "./hashWeight.ts";
import type { Upstream } from "./types.ts";

/**
 * Places that one keeper orders requests for. Asks grow with the places that come free;
 * with more of them a keeper's processor is full in a burst, its answers come late and
 * hosts go on without it. With fewer, free places of one cell stand beside the line of
 * another.
 */
const CELL_PLACES = 120;

/** Text that names a {@link Cell}, equal on every host. */
export type CellKey = Branded<string, "CellKey">;

/** Some upstreams of a service, whose line one host keeps. */
export interface Cell {
  readonly service: ServiceId;
  /** Where its upstreams are; `undefined` for a service of one cell. */
  readonly failureDomain: FailureDomain | undefined;
  /** Its number among the cells of its failure domain. */
  readonly index: number;
  /** How many cells the failure domain has. */
  readonly count: number;
}

/** Names a cell. */
export function cellKeyOf(
  { service, failureDomain, index, count }: Cell,
): CellKey {
  return `${service}|${failureDomain ?? ""}|${index}/${count}` as CellKey;
}

/**
 * Deals the upstreams of a service into cells of bounded size: all in one while they
 * are few, else by failure domain, as bytes between domains are charged, and by a
 * hash within it. Counts are powers of two, so that they seldom change when upstreams
 * come and go. Hosts with the same list deal alike without a word.
 */
export function partitionIntoCells(
  service: ServiceId,
  upstreams: readonly Upstream[],
): Cell[] {
  if (totalSlots(upstreams) <= CELL_PLACES) {
    return [{ service, failureDomain: undefined, index: 0, count: 1 }];
  }
  const sizes = new Map<FailureDomain, number>();
  for (const { failureDomain, slots } of upstreams) {
    sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + slots);
  }
  return [...sizes].flatMap(([failureDomain, size]) => {
    const count = 2 ** Math.max(0, Math.ceil(Math.log2(size / CELL_PLACES)));
    return Array.from(
      { length: count },
      (_, index) => ({ service, failureDomain, index, count }),
    );
  });
}

/** Requests that some upstreams run at once. */
export function totalSlots(upstreams: readonly Upstream[]): number {
  return upstreams.reduce((sum, { slots }) => sum + slots, 0);
}

/** Whether an upstream belongs to a cell. */
export function isInCell(
  { service, failureDomain, index, count }: Cell,
  upstream: Upstream,
): boolean {
  if (upstream.service !== service) return false;
  const isElsewhere = failureDomain !== undefined &&
    upstream.failureDomain !== failureDomain;
  if (isElsewhere) return false;
  if (count === 1) return true;
  const weight = hashWeight("cell", upstream.upstream);
  return Math.floor(weight * count / HASH_WEIGHTS) === index;
}
