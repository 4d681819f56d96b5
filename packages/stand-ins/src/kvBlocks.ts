import { createHash } from "node:crypto";
import { asId, type Digest } from "@wasabivane/common";
import type { EngineModel } from "@wasabivane/engine-model";

/** One cached block as it travels; its data stands for the tensors. */
export interface KvBlock {
  readonly digest: Digest;
  /** Base64; made from the digest, so that a mixed-up block is found out. */
  readonly data: string;
}

/** The blocks that an engine holds of those asked for, in their order. */
export function exportBlocks(
  model: EngineModel,
  digests: readonly Digest[],
): KvBlock[] {
  return model.exportBlocks(digests).map((digest) => ({
    digest,
    data: dataOf(digest),
  }));
}

/** Takes blocks in; false, and none taken, when one's data is not its digest's. */
export function importBlocks(
  model: EngineModel,
  blocks: readonly KvBlock[],
): boolean {
  if (blocks.some(({ digest, data }) => data !== dataOf(digest))) return false;
  model.importBlocks(blocks.map(({ digest }) => digest));
  return true;
}

/** Reads digests from a body; `undefined` when they are none. */
export function parseDigests(value: unknown): Digest[] | undefined {
  if (!Array.isArray(value)) return undefined;
  if (!value.every((digest) => typeof digest === "string")) return undefined;
  return value.map((digest: string) => asId<Digest>(digest));
}

/** Reads blocks from a body; `undefined` when they are none. */
export function parseBlocks(value: unknown): KvBlock[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const areBlocks = value.every((block: Partial<KvBlock> | null) =>
    typeof block?.digest === "string" && typeof block.data === "string"
  );
  return areBlocks ? value as KvBlock[] : undefined;
}

function dataOf(digest: Digest): string {
  return createHash("sha256").update(digest).digest("base64");
}
