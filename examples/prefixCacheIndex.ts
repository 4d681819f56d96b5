import type { Digest, UpstreamId } from "@wasabivane/common";
import { PrefixCacheIndex } from "@wasabivane/decisions";

const index = new PrefixCacheIndex();
const prompt = ["block-1", "block-2", "block-3"] as unknown as Digest[];
index.recordStored("u1" as unknown as UpstreamId, prompt.slice(0, 2), 0);

/** The upstreams that cache the start of the prompt: `u1` with two blocks. */
export const result = index.holders(prompt, 1_000);
