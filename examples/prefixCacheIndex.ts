import type { Digest, UpstreamId } from "@wasabivane/common";
import { PrefixCacheIndex } from "@wasabivane/decisions";

const cache = new PrefixCacheIndex();
const prompt = ["block-1", "block-2", "block-3"] as unknown as Digest[];
cache.recordStored("u1" as unknown as UpstreamId, prompt.slice(0, 2), 0);

/** The upstream that was sent the first two blocks before. */
export const result = cache.holders(prompt, 1_000);
