import type {
  FailureDomain,
  HostId,
  Milliseconds,
  Random,
} from "@wasabivane/common";
import type { CellMap } from "./cellMap.ts";
import type { CellSnapshots } from "./cellSnapshots.ts";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import type { PlacementRequest } from "./placementRequest.ts";

/**
 * The first part of a prompt is often common to all requests of a kind, so it
 * does not bind a request to a cell; the last part is unique to the request.
 */
const FIRST_DISTINCTIVE_PART = 1;

/** Dependencies and settings of a {@link CellSelector}. */
export interface CellSelectorOptions {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly cells: CellMap;
  readonly snapshots: CellSnapshots;
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
   * cell was last reported full.
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
    return snapshots.pickByFreeSlots(cells, { random, now }) ?? home;
  }

  /**
   * Returns a further cell for a request that already waits in some;
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
      random.pick(others);
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
