import type { Milliseconds, Random } from "@wasabivane/common";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import type { CellPicture } from "./cellMessages.ts";

/** A picture older than this says nothing about free places. */
const PICTURE_MS: Milliseconds = 1_000;
/** Share of all places that must be free for cells to count as idle. */
const IDLE_SHARE = 0.25;

/** How full cells were when their keepers told last. */
export class CellPictures {
  readonly #pictures = new Map<CellKey, CellPicture>();

  /** Takes in a picture unless a newer one is known. */
  see(picture: CellPicture): void {
    const key = cellKeyOf(picture.cell);
    const known = this.#pictures.get(key);
    if (known === undefined || known.at <= picture.at) {
      this.#pictures.set(key, picture);
    }
  }

  /** The picture of a cell; `undefined` without one that is new enough. */
  of(cell: Cell, now: Milliseconds): CellPicture | undefined {
    const picture = this.#pictures.get(cellKeyOf(cell));
    if (picture === undefined || now - picture.at > PICTURE_MS) {
      return undefined;
    }
    return picture;
  }

  /** Whether nobody waits in these cells and places are free to spare. */
  areIdle(cells: readonly Cell[], now: Milliseconds): boolean {
    let places = 0;
    let free = 0;
    for (const cell of cells) {
      const picture = this.of(cell, now);
      if (picture === undefined) continue;
      if (picture.waiting > 0) return false;
      places += picture.places;
      free += picture.free;
    }
    return free > IDLE_SHARE * places;
  }

  /** A cell drawn by the free places that were seen; `undefined` without any. */
  roomiest(
    cells: readonly Cell[],
    { random, now }: { random: Random; now: Milliseconds },
  ): Cell | undefined {
    const free = cells.map((cell) => this.of(cell, now)?.free ?? 0);
    let draw = random.float() * free.reduce((sum, count) => sum + count, 0);
    return cells.find((_, index) => {
      draw -= free[index]!;
      return draw < 0;
    });
  }
}
