import { Packr, Unpackr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import { MESSAGE_STRUCTURES } from "./messageStructures.ts";

/** Why the bytes of a frame hold no value. */
export interface MalformedFrame {
  readonly kind: "malformed";
  readonly detail: string;
}

/** A packer that leaves the names in {@link MESSAGE_STRUCTURES} out. */
export function createPacker(): Packr {
  return new Packr({
    structures: copyOfTable(),
    maxSharedStructures: MESSAGE_STRUCTURES.length,
    mapsAsObjects: true,
    encodeUndefinedAsNil: false,
  });
}

/**
 * Reads what {@link createPacker} packs. A frame may spell out names of its own,
 * and with them replace an entry of the table: every later frame would then be
 * read under wrong names, from whomever it came. The table is compared after
 * each frame, mended, and the frame that touched it is not taken.
 */
export class FrameDecoder {
  readonly #structures = copyOfTable();
  readonly #table: readonly string[][] = [...this.#structures];
  readonly #unpackr = new Unpackr({
    structures: this.#structures,
    maxSharedStructures: MESSAGE_STRUCTURES.length,
    mapsAsObjects: true,
  });

  decode(frame: Uint8Array): Result<unknown, MalformedFrame> {
    try {
      const value: unknown = this.#unpackr.unpack(frame);
      if (this.#isTableWhole()) return ok(value);
      return malformed("The frame replaces names that all hosts share");
    } catch (error) {
      return malformed(String(error));
    } finally {
      this.#mendTable();
    }
  }

  #isTableWhole(): boolean {
    return this.#table.every((fields, index) =>
      this.#structures[index] === fields
    );
  }

  #mendTable(): void {
    this.#structures.length = this.#table.length;
    if (this.#isTableWhole()) return;
    for (const [index, fields] of this.#table.entries()) {
      this.#structures[index] = fields;
    }
  }
}

function copyOfTable(): string[][] {
  return MESSAGE_STRUCTURES.map((fields) => [...fields]);
}

function malformed(detail: string): Result<never, MalformedFrame> {
  return err({ kind: "malformed", detail });
}
