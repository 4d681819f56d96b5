import type { ServiceId, UpstreamId } from "@wasabivane/common";
import {
  type Cell,
  type CellKey,
  cellKeyOf,
  isInCell,
  partitionIntoCells,
  totalSlots,
} from "./cells.ts";
import { HASH_WEIGHT_COUNT, hashWeight } from "./hashWeight.ts";
import { isEligible } from "./eligibility.ts";
import type { SoftwareVersion, Upstream } from "./types.ts";
import type { UpstreamDirectory } from "./upstreamDirectory.ts";

/**
 * Cells of all services for the current state of the directory; computed again
 * when it changes.
 */
export class CellMap {
  readonly #directory: UpstreamDirectory;
  #version = -1;
  readonly #cells = new Map<ServiceId, readonly Cell[]>();
  readonly #slots = new Map<CellKey, number>();
  readonly #cellOf = new Map<UpstreamId, Cell | undefined>();
  /**
   * Which upstreams belong to a cell, including those that have left the
   * directory.
   */
  #membership = new WeakMap<Cell, Map<UpstreamId, boolean>>();

  constructor(directory: UpstreamDirectory) {
    this.#directory = directory;
  }

  /** Returns the cells of a service. */
  cellsOf(service: ServiceId): readonly Cell[] {
    this.#clearIfOutdated();
    let cells = this.#cells.get(service);
    if (cells === undefined) {
      cells = partitionIntoCells(service, this.#directory.of(service));
      this.#cells.set(service, cells);
    }
    return cells;
  }

  /**
   * Returns the cells of a service with upstreams of a version, or all if there
   * are none.
   */
  cellsOfVersion(
    service: ServiceId,
    softwareVersion: SoftwareVersion | undefined,
  ): readonly Cell[] {
    const cells = this.cellsOf(service);
    if (softwareVersion === undefined || cells.length === 1) return cells;
    const upstreams = this.#directory.of(service).filter((upstream) =>
      isEligible(upstream, { softwareVersion })
    );
    const matching = new Set(
      upstreams.map((upstream) => this.cellOf(upstream)),
    );
    const found = cells.filter((cell) => matching.has(cell));
    return found.length > 0 ? found : cells;
  }

  /**
   * Returns the cell of an upstream; `undefined` if its failure domain has
   * none.
   */
  cellOf(upstream: Upstream): Cell | undefined {
    const { upstream: id, service } = upstream;
    this.#clearIfOutdated();
    if (this.#cellOf.has(id)) return this.#cellOf.get(id);
    const found = this.cellsOf(service).find((cell) =>
      isInCell(cell, upstream)
    );
    this.#cellOf.set(id, found);
    return found;
  }

  /**
   * Whether an upstream belongs to a cell, even if it has left the directory.
   */
  hasUpstream(cell: Cell, id: UpstreamId): boolean {
    this.#clearIfOutdated();
    let known = this.#membership.get(cell);
    if (known === undefined) {
      known = new Map();
      this.#membership.set(cell, known);
    }
    const isMember = known.get(id);
    if (isMember !== undefined) return isMember;
    const upstream = this.#directory.lastKnown(id);
    if (upstream === undefined) return false;
    known.set(id, isInCell(cell, upstream));
    return known.get(id)!;
  }

  /**
   * Picks one of the cells for a host or a part of a prompt by weighted
   * rendezvous hashing: each cell gets a share in proportion to its slots, and
   * assignments stay stable when other cells change.
   */
  pickFor(name: string, cells: readonly Cell[]): Cell | undefined {
    let best: Cell | undefined;
    let greatest = -Infinity;
    for (const cell of cells) {
      const draw = (hashWeight(cellKeyOf(cell), name) + 1) /
        (HASH_WEIGHT_COUNT + 1);
      const weight = Math.log(draw) / Math.max(1, this.#slotsIn(cell));
      if (weight <= greatest) continue;
      greatest = weight;
      best = cell;
    }
    return best;
  }

  #clearIfOutdated(): void {
    if (this.#version === this.#directory.version) return;
    this.#version = this.#directory.version;
    this.#cells.clear();
    this.#slots.clear();
    this.#cellOf.clear();
    this.#membership = new WeakMap();
  }

  #slotsIn(cell: Cell): number {
    const key = cellKeyOf(cell);
    let slots = this.#slots.get(key);
    if (slots === undefined) {
      const members = this.#directory.of(cell.service).filter((upstream) =>
        isInCell(cell, upstream)
      );
      slots = totalSlots(members);
      this.#slots.set(key, slots);
    }
    return slots;
  }
}
