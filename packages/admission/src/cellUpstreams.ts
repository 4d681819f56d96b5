import type { ServiceId } from "@wasabivane/common";
import { type Cell, isInCell } from "./cells.ts";
import type { UpstreamSource } from "./requestScheduler.ts";
import type { Upstream } from "./types.ts";

/**
 * The upstreams of one cell. They are looked for when the list that they come from is
 * another one, not for each decision: that would hash the names of a whole service
 * several times for each request.
 */
export class CellUpstreams implements UpstreamSource {
  readonly #cell: Cell;
  readonly #source: UpstreamSource;
  #list: readonly Upstream[] | undefined;
  #members: readonly Upstream[] = [];

  /** The source must give the same list as long as nothing has changed. */
  constructor(cell: Cell, source: UpstreamSource) {
    this.#cell = cell;
    this.#source = source;
  }

  of(service: ServiceId): readonly Upstream[] {
    const list = this.#source.of(service);
    if (list !== this.#list) {
      this.#list = list;
      this.#members = list.filter((upstream) => isInCell(this.#cell, upstream));
    }
    return this.#members;
  }
}
