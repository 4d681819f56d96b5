import { createHash } from "node:crypto";
import { asId, type Digest } from "@wasabivane/common";
import type { EngineModel } from "@wasabivane/engine-model";

/** Transferred cache block; its data takes the place of the tensors. */
export interface KvBlock {
  readonly digest: Digest;
  /** Base64, derived from the digest so that mismatches are detected. */
  readonly data: string;
}

/** Exports the requested blocks that the engine has cached. */
export function exportBlocks(
  model: EngineModel,
  digests: readonly Digest[],
): KvBlock[] {
  return model.exportBlocks(digests).map((digest) => ({
    digest,
    data: createBlockData(digest),
  }));
}

/** Imports blocks; returns false, importing none, if any data is invalid. */
export function importBlocks(
  model: EngineModel,
  blocks: readonly KvBlock[],
): boolean {
  if (blocks.some(({ digest, data }) => data !== createBlockData(digest))) {
    return false;
  }
  model.importBlocks(blocks.map(({ digest }) => digest));
  return true;
}

/** Parses digests from a body; `undefined` if invalid. */
export function parseDigests(value: unknown): Digest[] | undefined {
  if (!Array.isArray(value)) return undefined;
  if (!value.every((digest) => typeof digest === "string")) return undefined;
  return value.map((digest: string) => asId<Digest>(digest));
}

/** Parses blocks from a body; `undefined` if invalid. */
export function parseBlocks(value: unknown): KvBlock[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const isValid = value.every((block: Partial<KvBlock> | null) =>
    typeof block?.digest === "string" && typeof block.data === "string"
  );
  return isValid ? value as KvBlock[] : undefined;
}

function createBlockData(digest: Digest): string {
  return createHash("sha256").update(digest).digest("base64");
}
