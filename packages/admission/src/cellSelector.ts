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
 * The first part of a prompt is often common to all requests of a kind: read everywhere
 * soon, it is no reason to go anywhere. The last is the request's own.
 */
const FIRST_SUBJECT = 1;

/** What a {@link CellSelector} is built from. */
export interface CellSelectorOptions {
  readonly host: HostId;
  readonly failureDomain: FailureDomain;
  readonly cells: CellMap;
  readonly snapshots: CellSnapshots;
  readonly random: Random;
}

/** In which cells one host seeks a place for a request. */
export class CellSelector {
  readonly #options: CellSelectorOptions;

  constructor(options: CellSelectorOptions) {
    this.#options = options;
  }

  /** The home cell of a request, or one with free places if that was seen without any. */
  selectFirst(wish: PlacementRequest, now: Milliseconds): Cell | undefined {
    const { snapshots, random } = this.#options;
    const cells = this.#options.cells.cellsOf(wish.service);
    const home = this.#homeOf(cells, wish);
    if (home === undefined || cells.length === 1) return home;
    const snapshot = snapshots.get(home, now);
    if (snapshot === undefined || snapshot.free > 0) return home;
    return snapshots.pickByFreeSlots(cells, { random, now }) ?? home;
  }

  /** One more cell for a request that waits in some; `undefined` if there is none. */
  selectAdditional(
    { service }: PlacementRequest,
    { held, now }: { held: ReadonlySet<CellKey>; now: Milliseconds },
  ): Cell | undefined {
    const { cells, snapshots, random } = this.#options;
    const others = cells.cellsOf(service).filter((cell) =>
      !held.has(cellKeyOf(cell))
    );
    if (others.length === 0) return undefined;
    return snapshots.pickByFreeSlots(others, { random, now }) ??
      random.pick(others);
  }

  /**
   * The cell where all hosts send prompts that begin alike; otherwise one of this host's
   * failure domain, over whose cells its hosts spread.
   */
  #homeOf(
    cells: readonly Cell[],
    { parts }: PlacementRequest,
  ): Cell | undefined {
    const { failureDomain, host, cells: map } = this.#options;
    const [shared] = parts.slice(0, -1).slice(FIRST_SUBJECT).toReversed();
    if (shared !== undefined) return map.pickFor(shared.part, cells);
    const near = cells.filter((cell) => cell.failureDomain === failureDomain);
    const choice = near.length > 0 ? near : cells;
    return choice.length === 1 ? choice[0] : map.pickFor(host, choice);
  }
}
