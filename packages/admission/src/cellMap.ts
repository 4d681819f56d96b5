import type { ServiceId, UpstreamId } from "@wasabivane/common";
import {
  type Cell,
  type CellKey,
  cellKeyOf,
  isInCell,
  partitionIntoCells,
  totalSlots,
} from "./cells.ts";
import { HASH_WEIGHTS, hashWeight } from "./hashWeight.ts";
import type { Upstream } from "./types.ts";
import type { UpstreamDirectory } from "./upstreamDirectory.ts";

/** The cells of all services, as the directory stands; worked out anew when it changes. */
export class CellMap {
  readonly #directory: UpstreamDirectory;
  #version = -1;
  readonly #cells = new Map<ServiceId, readonly Cell[]>();
  readonly #places = new Map<CellKey, number>();
  readonly #cellOf = new Map<UpstreamId, Cell | undefined>();
  /** Which upstreams a cell holds, those that have left the directory among them. */
  #holds = new WeakMap<Cell, Map<UpstreamId, boolean>>();

  constructor(directory: UpstreamDirectory) {
    this.#directory = directory;
  }

  /** The cells of a service. */
  cellsOf(service: ServiceId): readonly Cell[] {
    this.#forgetOld();
    let cells = this.#cells.get(service);
    if (cells === undefined) {
      cells = partitionIntoCells(service, this.#directory.of(service));
      this.#cells.set(service, cells);
    }
    return cells;
  }

  /** The cell of an upstream; `undefined` for one of a failure domain without a cell. */
  cellOf(upstream: Upstream): Cell | undefined {
    const { upstream: id, service } = upstream;
    this.#forgetOld();
    if (this.#cellOf.has(id)) return this.#cellOf.get(id);
    const found = this.cellsOf(service).find((cell) =>
      isInCell(cell, upstream)
    );
    this.#cellOf.set(id, found);
    return found;
  }

  /** Whether a cell holds an upstream, also one that has left the directory since. */
  hasUpstream(cell: Cell, id: UpstreamId): boolean {
    this.#forgetOld();
    let known = this.#holds.get(cell);
    if (known === undefined) {
      known = new Map();
      this.#holds.set(cell, known);
    }
    const isHeld = known.get(id);
    if (isHeld !== undefined) return isHeld;
    const upstream = this.#directory.lastKnown(id);
    if (upstream === undefined) return false;
    known.set(id, isInCell(cell, upstream));
    return known.get(id)!;
  }

  /**
   * One of some cells for a host or a part of a prompt. Each cell gets its share of them
   * by its places, and keeps them while others change.
   */
  pickFor(name: string, cells: readonly Cell[]): Cell | undefined {
    let best: Cell | undefined;
    let greatest = -Infinity;
    for (const cell of cells) {
      const draw = (hashWeight(cellKeyOf(cell), name) + 1) / (HASH_WEIGHTS + 1);
      const weight = Math.log(draw) / Math.max(1, this.#placesIn(cell));
      if (weight <= greatest) continue;
      greatest = weight;
      best = cell;
    }
    return best;
  }

  #forgetOld(): void {
    if (this.#version === this.#directory.version) return;
    this.#version = this.#directory.version;
    this.#cells.clear();
    this.#places.clear();
    this.#cellOf.clear();
    this.#holds = new WeakMap();
  }

  #placesIn(cell: Cell): number {
    const key = cellKeyOf(cell);
    let places = this.#places.get(key);
    if (places === undefined) {
      const members = this.#directory.of(cell.service).filter((upstream) =>
        isInCell(cell, upstream)
      );
      places = totalSlots(members);
      this.#places.set(key, places);
    }
    return places;
  }
}
