import type { ServiceId } from "@wasabivane/common";
import { type Cell, isInCell } from "./cells.ts";
import type { UpstreamSource } from "./requestScheduler.ts";
import type { Upstream } from "./types.ts";

/**
 * Upstreams of one cell. Filters again only when the source returns another
 * list, which saves hashing all upstreams of a service for each decision.
 */
export class CellUpstreams implements UpstreamSource {
  readonly #cell: Cell;
  readonly #source: UpstreamSource;
  #list: readonly Upstream[] | undefined;
  #members: readonly Upstream[] = [];

  /** The source must return the same array until its upstreams change. */
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
