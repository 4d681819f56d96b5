import { Packr, Unpackr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import { MESSAGE_STRUCTURES } from "./messageStructures.ts";

/** Why a frame could not be decoded. */
export interface MalformedFrame {
  readonly kind: "malformed";
  readonly detail: string;
}

/**
 * Creates an encoder that omits field names listed in {@link
 * MESSAGE_STRUCTURES}.
 */
export function createPacker(): Packr {
  return new Packr({
    structures: copyTable(),
    maxSharedStructures: MESSAGE_STRUCTURES.length,
    mapsAsObjects: true,
    encodeUndefinedAsNil: false,
  });
}

/**
 * Decodes frames written by {@link createPacker}.
 *
 * A frame can define record structures of its own and thereby overwrite an
 * entry of the shared table, which would corrupt every later frame. The table
 * is therefore checked and restored after each frame; a frame that changed it
 * is rejected.
 */
export class FrameDecoder {
  readonly #structures = copyTable();
  readonly #table: readonly string[][] = [...this.#structures];
  readonly #unpackr = new Unpackr({
    structures: this.#structures,
    maxSharedStructures: MESSAGE_STRUCTURES.length,
    mapsAsObjects: true,
  });

  decode(frame: Uint8Array): Result<unknown, MalformedFrame> {
    try {
      const value: unknown = this.#unpackr.unpack(frame);
      if (this.#isTableIntact()) return ok(value);
      return malformed("The frame overwrites a shared record structure");
    } catch (error) {
      return malformed(String(error));
    } finally {
      this.#restoreTable();
    }
  }

  #isTableIntact(): boolean {
    return this.#table.every((fields, index) =>
      this.#structures[index] === fields
    );
  }

  #restoreTable(): void {
    this.#structures.length = this.#table.length;
    if (this.#isTableIntact()) return;
    for (const [index, fields] of this.#table.entries()) {
      this.#structures[index] = fields;
    }
  }
}

function copyTable(): string[][] {
  return MESSAGE_STRUCTURES.map((fields) => [...fields]);
}

function malformed(detail: string): Result<never, MalformedFrame> {
  return err({ kind: "malformed", detail });
}
