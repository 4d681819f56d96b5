import type { Milliseconds, Random } from "@wasabivane/common";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import type { CellSnapshot } from "./cellMessages.ts";

/** A snapshot older than this says nothing about free places. */
const SNAPSHOT_MS: Milliseconds = 1_000;
/** Share of all places that must be free for cells to count as idle. */
const IDLE_SHARE = 0.25;

/** How full cells were when their keepers told last. */
export class CellSnapshots {
  readonly #snapshots = new Map<CellKey, CellSnapshot>();

  /** Takes in a snapshot unless a newer one is known. */
  update(snapshot: CellSnapshot): void {
    const key = cellKeyOf(snapshot.cell);
    const known = this.#snapshots.get(key);
    if (known === undefined || known.at <= snapshot.at) {
      this.#snapshots.set(key, snapshot);
    }
  }

  /** The snapshot of a cell; `undefined` without one that is new enough. */
  get(cell: Cell, now: Milliseconds): CellSnapshot | undefined {
    const snapshot = this.#snapshots.get(cellKeyOf(cell));
    if (snapshot === undefined || now - snapshot.at > SNAPSHOT_MS) {
      return undefined;
    }
    return snapshot;
  }

  /** Whether nobody waits in these cells and places are free to spare. */
  areIdle(cells: readonly Cell[], now: Milliseconds): boolean {
    let places = 0;
    let free = 0;
    for (const cell of cells) {
      const snapshot = this.get(cell, now);
      if (snapshot === undefined) continue;
      if (snapshot.waiting > 0) return false;
      places += snapshot.capacity;
      free += snapshot.free;
    }
    return free > IDLE_SHARE * places;
  }

  /** A cell drawn by the free places that were seen; `undefined` without any. */
  pickByFreeSlots(
    cells: readonly Cell[],
    { random, now }: { random: Random; now: Milliseconds },
  ): Cell | undefined {
    const free = cells.map((cell) => this.get(cell, now)?.free ?? 0);
    let draw = random.float() * free.reduce((sum, count) => sum + count, 0);
    return cells.find((_, index) => {
      draw -= free[index]!;
      return draw < 0;
    });
  }
}
