import { ok, type Result } from "neverthrow";
import {
  type BundlePart,
  bundleParts,
  type DuplicatePart,
  type PartKey,
} from "./bundleParts.ts";
import { DigestTree } from "./digestTree.ts";
import type { Bundle } from "./schema.ts";

/** A bundle's parts with the digests that were computed from them here. */
export interface DigestedBundle {
  readonly parts: ReadonlyMap<PartKey, BundlePart>;
  readonly tree: DigestTree;
}

/**
 * Digests of bundles that differences were made from or applied to, so that
 * one changed part costs one bucket instead of the whole bundle. Bundles are
 * values: nobody changes one in place.
 */
const digestedBundles = new WeakMap<Bundle, DigestedBundle>();

/** The digests of a bundle, computed once. */
export function digestBundle(
  bundle: Bundle,
): Result<DigestedBundle, DuplicatePart> {
  const known = digestedBundles.get(bundle);
  if (known !== undefined) return ok(known);
  return bundleParts(bundle).map((parts) => {
    const digested = { parts, tree: DigestTree.fromParts(parts.values()) };
    digestedBundles.set(bundle, digested);
    return digested;
  });
}

/** Keeps digests that were computed while the bundle was put together. */
export function cacheDigests(
  bundle: Bundle,
  digested: DigestedBundle,
): void {
  digestedBundles.set(bundle, digested);
}
