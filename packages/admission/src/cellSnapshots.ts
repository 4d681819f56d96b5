import type { Milliseconds, Random } from "@wasabivane/common";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import type { CellSnapshot } from "./cellMessages.ts";

/** Older snapshots say nothing about free slots. */
const MAXIMUM_SNAPSHOT_AGE_MS: Milliseconds = 1_000;
/** Cells that replies of coordinators may name. */
const MAXIMUM_CELLS = 1_024;
/** Share of all slots that must be free for cells to count as idle. */
const IDLE_FREE_SHARE = 0.25;

/** Latest known snapshots of cells. */
export class CellSnapshots {
  readonly #snapshots = new Map<CellKey, CellSnapshot>();

  /** Stores a snapshot unless a newer one is known. */
  update(snapshot: CellSnapshot): void {
    const key = cellKeyOf(snapshot.cell);
    const known = this.#snapshots.get(key);
    if (known !== undefined && known.at > snapshot.at) return;
    // Keeps the snapshots in order of time.
    this.#snapshots.delete(key);
    this.#snapshots.set(key, snapshot);
    if (this.#snapshots.size <= MAXIMUM_CELLS) return;
    const [oldest] = this.#snapshots.keys();
    this.#snapshots.delete(oldest!);
  }

  /** Returns the snapshot of a cell; `undefined` without a recent one. */
  get(cell: Cell, now: Milliseconds): CellSnapshot | undefined {
    const snapshot = this.#snapshots.get(cellKeyOf(cell));
    if (snapshot === undefined || now - snapshot.at > MAXIMUM_SNAPSHOT_AGE_MS) {
      return undefined;
    }
    return snapshot;
  }

  /** Whether no requests wait in these cells and enough slots are free. */
  areIdle(cells: readonly Cell[], now: Milliseconds): boolean {
    let capacity = 0;
    let free = 0;
    for (const cell of cells) {
      const snapshot = this.get(cell, now);
      if (snapshot === undefined) continue;
      if (snapshot.waiting > 0) return false;
      capacity += snapshot.capacity;
      free += snapshot.free;
    }
    return free > IDLE_FREE_SHARE * capacity;
  }

  /**
   * Draws a cell with a probability in proportion to its free slots;
   * `undefined` if none is known to be free.
   */
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
