import type { BundleVersion, Digest } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  assembleBundle,
  type BundlePart,
  bundlePartSchema,
  type DuplicatePart,
  type PartKey,
  partKey,
} from "./bundleParts.ts";
import {
  cacheDigests,
  digestBundle,
  type DigestedBundle,
} from "./digestedBundle.ts";
import { type Bundle, bundleSchema } from "./schema.ts";
import {
  bundleSignatureSchema,
  digestSchema,
  type SignedBundle,
} from "./signedBundle.ts";

const version = bundleSchema.shape.version;

/**
 * The schema of the difference between a signed bundle and a later one. It
 * carries the later bundle's signatures, so that any host may relay it.
 */
export const bundleDifferenceSchema = z.strictObject({
  deployment: bundleSchema.shape.deployment,
  fromVersion: version,
  fromRoot: digestSchema,
  toVersion: version,
  toRoot: digestSchema,
  /** Parts that were added or changed. */
  changed: z.array(bundlePartSchema),
  /** Keys of parts that were removed. */
  removed: z.array(z.string().max(128) as unknown as z.ZodType<PartKey>),
  signatures: z.array(bundleSignatureSchema).min(1).max(4),
});

/** A difference between bundles; see {@link bundleDifferenceSchema}. */
export type BundleDifference = z.infer<typeof bundleDifferenceSchema>;

/** The parts that differ between two bundles. */
export interface PartComparison {
  readonly changed: readonly BundlePart[];
  readonly removed: readonly PartKey[];
}

/** The reason that a difference cannot be created or applied. */
export type BundleDifferenceError =
  | DuplicatePart
  | { readonly kind: "other-deployment"; readonly deployment: string }
  | {
    readonly kind: "not-newer";
    readonly fromVersion: BundleVersion;
    readonly toVersion: BundleVersion;
  }
  | {
    readonly kind: "other-base";
    readonly expected: Digest;
    readonly found: Digest;
  }
  | { readonly kind: "unknown-part"; readonly key: PartKey }
  | {
    readonly kind: "root-mismatch";
    readonly claimed: Digest;
    readonly computed: Digest;
  };

/** Compares two bundles part by part. */
export function compareBundleParts(
  from: Bundle,
  to: Bundle,
): Result<PartComparison, DuplicatePart> {
  return digestBundle(from).andThen((fromDigested) =>
    digestBundle(to).map((toDigested) =>
      compareDigested(fromDigested, toDigested)
    )
  );
}

/** Creates the difference that turns `from` into the newer `to`. */
export function createBundleDifference(
  from: SignedBundle,
  to: SignedBundle,
): Result<BundleDifference, BundleDifferenceError> {
  const { deployment, version: toVersion } = to.bundle;
  const { version: fromVersion } = from.bundle;
  if (deployment !== from.bundle.deployment) {
    return err({ kind: "other-deployment", deployment });
  }
  if (toVersion <= fromVersion) {
    return err({ kind: "not-newer", fromVersion, toVersion });
  }
  return compareBundleParts(from.bundle, to.bundle).map((comparison) => ({
    deployment,
    fromVersion,
    fromRoot: from.root,
    toVersion,
    toRoot: to.root,
    changed: [...comparison.changed],
    removed: [...comparison.removed],
    signatures: [...to.signatures],
  }));
}

/**
 * Applies a difference and verifies the root digest of the result. The caller
 * must verify the signatures with `verifySignatures`.
 */
export function applyBundleDifference(
  from: SignedBundle,
  difference: BundleDifference,
): Result<SignedBundle, BundleDifferenceError> {
  return checkBase(from, difference)
    .andThen(() => digestBundle(from.bundle))
    .andThen((base) => applyToDigested(base, difference))
    .map((digested): SignedBundle => {
      const bundle = assembleBundle(digested.parts.values());
      cacheDigests(bundle, digested);
      return {
        bundle,
        root: difference.toRoot,
        signatures: difference.signatures,
      };
    });
}

function checkBase(
  from: SignedBundle,
  difference: BundleDifference,
): Result<void, BundleDifferenceError> {
  const { deployment, fromRoot, toVersion } = difference;
  if (deployment !== from.bundle.deployment) {
    return err({ kind: "other-deployment", deployment });
  }
  if (fromRoot !== from.root) {
    return err({ kind: "other-base", expected: fromRoot, found: from.root });
  }
  const fromVersion = from.bundle.version;
  if (toVersion <= fromVersion) {
    return err({ kind: "not-newer", fromVersion, toVersion });
  }
  return ok(undefined);
}

function applyToDigested(
  base: DigestedBundle,
  difference: BundleDifference,
): Result<DigestedBundle, BundleDifferenceError> {
  const parts = new Map(base.parts);
  for (const key of difference.removed) {
    if (!parts.delete(key)) return err({ kind: "unknown-part", key });
  }
  for (const part of difference.changed) parts.set(partKey(part), part);
  const tree = base.tree.withChanges(difference);
  const claimed = difference.toRoot;
  if (tree.root !== claimed || !hasSignedHeader(parts, difference)) {
    return err({ kind: "root-mismatch", claimed, computed: tree.root });
  }
  return ok({ parts, tree });
}

/** Returns whether the bundle contains the header that the signature covers. */
function hasSignedHeader(
  parts: ReadonlyMap<PartKey, BundlePart>,
  { deployment, toVersion }: BundleDifference,
): boolean {
  const scalars = parts.get("scalars" as PartKey);
  return scalars?.kind === "scalars" &&
    scalars.value.deployment === deployment &&
    scalars.value.version === toVersion;
}

function compareDigested(
  from: DigestedBundle,
  to: DigestedBundle,
): PartComparison {
  const changed: BundlePart[] = [];
  const removed: PartKey[] = [];
  for (const key of from.tree.differingKeys(to.tree)) {
    const part = to.parts.get(key);
    if (part === undefined) removed.push(key);
    else changed.push(part);
  }
  return { changed, removed };
}
