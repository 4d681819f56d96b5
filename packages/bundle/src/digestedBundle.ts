import { ok, type Result } from "neverthrow";
import {
  type BundlePart,
  bundleParts,
  type DuplicatePart,
  type PartKey,
} from "./bundleParts.ts";
import { DigestTree } from "./digestTree.ts";
import type { Bundle } from "./schema.ts";

/** The parts of a bundle and the digest tree over them. */
export interface DigestedBundle {
  readonly parts: ReadonlyMap<PartKey, BundlePart>;
  readonly tree: DigestTree;
}

/**
 * Caches digests by bundle object, so that applying a difference rehashes only
 * the changed buckets. Bundles are never mutated.
 */
const digestedBundles = new WeakMap<Bundle, DigestedBundle>();

/** Returns the parts and digests of a bundle, computed once per object. */
export function digestBundle(
  bundle: Bundle,
): Result<DigestedBundle, DuplicatePart> {
  const cached = digestedBundles.get(bundle);
  if (cached !== undefined) return ok(cached);
  return bundleParts(bundle).map((parts) => {
    const digested = { parts, tree: DigestTree.fromParts(parts.values()) };
    digestedBundles.set(bundle, digested);
    return digested;
  });
}

/** Caches the digests of a bundle that were computed elsewhere. */
export function cacheDigests(
  bundle: Bundle,
  digested: DigestedBundle,
): void {
  digestedBundles.set(bundle, digested);
}
