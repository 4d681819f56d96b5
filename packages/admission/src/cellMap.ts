import type { ServiceId, UpstreamId } from "@wasabivane/common";
import { type Cell, cellKeyOf, dealCells, isInCell } from "./cells.ts";
import { hashWeight } from "./hashWeight.ts";
import type { Upstream } from "./types.ts";
import type { UpstreamDirectory } from "./upstreamDirectory.ts";

/** The cells of all services, as the directory stands; worked out anew when it changes. */
export class CellMap {
  readonly #directory: UpstreamDirectory;
  #version = -1;
  readonly #cells = new Map<ServiceId, readonly Cell[]>();

  constructor(directory: UpstreamDirectory) {
    this.#directory = directory;
  }

  /** The cells of a service. */
  ofService(service: ServiceId): readonly Cell[] {
    if (this.#version !== this.#directory.version) {
      this.#cells.clear();
      this.#version = this.#directory.version;
    }
    let cells = this.#cells.get(service);
    if (cells === undefined) {
      cells = dealCells(service, this.#directory.of(service));
      this.#cells.set(service, cells);
    }
    return cells;
  }

  /** The cell of an upstream; `undefined` for one of a failure domain without a cell. */
  of(upstream: Upstream): Cell | undefined {
    return this.ofService(upstream.service).find((cell) =>
      isInCell(cell, upstream)
    );
  }

  /** Whether a cell holds an upstream, also one that has left the directory since. */
  holds(cell: Cell, id: UpstreamId): boolean {
    const upstream = this.#directory.lastKnown(id);
    return upstream !== undefined && isInCell(cell, upstream);
  }

  /** One of some cells for a host or a part of a prompt; these spread evenly over them. */
  pickFor(name: string, cells: readonly Cell[]): Cell | undefined {
    let best: Cell | undefined;
    let greatest = -1;
    for (const cell of cells) {
      const weight = hashWeight(cellKeyOf(cell), name);
      if (weight <= greatest) continue;
      greatest = weight;
      best = cell;
    }
    return best;
  }
}
