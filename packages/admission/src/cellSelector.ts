import type {
  FailureDomain,
  HostId,
  Milliseconds,
  Random,
} from "@wasabivane/common";
import type { CellMap } from "./cellMap.ts";
import type { CellSnapshot } from "./cellMessages.ts";
import type { CellSnapshots } from "./cellSnapshots.ts";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import {
  createPendingRequest,
  type PlacementRequest,
} from "./placementRequest.ts";
import type { UpstreamStats } from "./upstreamStats.ts";

/**
 * The first part of a prompt is often common to all requests of a kind, so it
 * does not bind a request to a cell; the last part is unique to the request.
 */
const FIRST_DISTINCTIVE_PART = 1;
/**
 * Share of the time left for a start on time that the expected wait in a full home
 * cell may take. The rest covers requests that arrive ahead and work that takes
 * longer than expected.
 */
const MAXIMUM_WAIT_SHARE = 0.25;

/** Dependencies and settings of a {@link CellSelector}. */
export interface CellSelectorOptions {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly cells: CellMap;
  readonly snapshots: CellSnapshots;
  readonly stats: UpstreamStats;
  readonly random: Random;
}

/** Selects the cells in which this host queues a request. */
export class CellSelector {
  readonly #options: CellSelectorOptions;

  constructor(options: CellSelectorOptions) {
    this.#options = options;
  }

  /**
   * Returns the home cell of a request, or a cell with free slots if the home
   * cell was last reported full and the request could start too late there.
   */
  selectFirst(
    placementRequest: PlacementRequest,
    now: Milliseconds,
  ): Cell | undefined {
    const { snapshots, random } = this.#options;
    const { service, softwareVersion } = placementRequest;
    const cells = this.#options.cells.cellsOfVersion(service, softwareVersion);
    const home = this.#homeOf(cells, placementRequest);
    if (home === undefined || cells.length === 1) return home;
    const snapshot = snapshots.get(home, now);
    if (snapshot === undefined || snapshot.free > 0) return home;
    if (this.#isSoonEnough(snapshot, placementRequest, now)) return home;
    return snapshots.pickByFreeSlots(cells, { random, now }) ?? home;
  }

  /**
   * Returns a further cell for a request that already waits in some: one with
   * free slots, or else that with the shortest queue for its capacity;
   * `undefined` if there is none.
   */
  selectAdditional(
    { service, softwareVersion }: PlacementRequest,
    { joined, now }: { joined: ReadonlySet<CellKey>; now: Milliseconds },
  ): Cell | undefined {
    const { cells, snapshots, random } = this.#options;
    const others = cells.cellsOfVersion(service, softwareVersion)
      .filter((cell) => !joined.has(cellKeyOf(cell)));
    if (others.length === 0) return undefined;
    return snapshots.pickByFreeSlots(others, { random, now }) ??
      snapshots.pickShortestQueue(others, { random, now });
  }

  /**
   * Whether a request that has to wait in a cell starts there well before it would
   * be late, if each slot serves its share of the requests that wait.
   */
  #isSoonEnough(
    { waiting, capacity }: CellSnapshot,
    placementRequest: PlacementRequest,
    now: Milliseconds,
  ): boolean {
    if (capacity <= 0) return false;
    const { slotTime, onTimeUntil } = createPendingRequest(
      placementRequest,
      this.#options.stats,
      () => {},
    );
    const wait = (waiting + 1) * slotTime / capacity;
    return wait <= MAXIMUM_WAIT_SHARE * (onTimeUntil - now);
  }

  /**
   * Returns the cell to which all hosts send prompts with the same prefix; for
   * other prompts a cell of this host's failure domain, over which its hosts
   * are spread.
   */
  #homeOf(
    cells: readonly Cell[],
    { parts }: PlacementRequest,
  ): Cell | undefined {
    const { failureDomain, host, cells: map } = this.#options;
    const [shared] = parts.slice(0, -1).slice(FIRST_DISTINCTIVE_PART)
      .toReversed();
    if (shared !== undefined) return map.pickFor(shared.part, cells);
    const near = cells.filter((cell) => cell.failureDomain === failureDomain);
    const choice = near.length > 0 ? near : cells;
    return choice.length === 1 ? choice[0] : map.pickFor(host, choice);
  }
}
