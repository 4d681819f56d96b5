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
 * What turns one signed bundle into a later one. It carries the later bundle's
 * own signatures, so that whoever passes it on needs no trust.
 */
export const bundleDifferenceSchema = z.strictObject({
  deployment: bundleSchema.shape.deployment,
  fromVersion: version,
  fromRoot: digestSchema,
  toVersion: version,
  toRoot: digestSchema,
  /** Parts that are new or different. */
  changed: z.array(bundlePartSchema),
  /** Keys of parts that are gone. */
  removed: z.array(z.string().max(128) as unknown as z.ZodType<PartKey>),
  signatures: z.array(bundleSignatureSchema).min(1).max(4),
});

/** See {@link bundleDifferenceSchema}. */
export type BundleDifference = z.infer<typeof bundleDifferenceSchema>;

/** Parts that differ between two bundles. */
export interface PartComparison {
  readonly changed: readonly BundlePart[];
  readonly removed: readonly PartKey[];
}

/** Why a difference cannot be made or applied. */
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

/** Compares any two bundles part by part. */
export function compareBundleParts(
  from: Bundle,
  to: Bundle,
): Result<PartComparison, DuplicatePart> {
  return digestBundle(from).andThen((former) =>
    digestBundle(to).map((later) => compareDigested(former, later))
  );
}

/** The difference that {@link applyBundleDifference} turns `from` into `to` with. */
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
 * The later bundle. The root is computed from the outcome, so a difference
 * that was forged or made from another base is refused; the signatures are the
 * caller's to check, with `verifySignatures`.
 */
export function applyBundleDifference(
  from: SignedBundle,
  difference: BundleDifference,
): Result<SignedBundle, BundleDifferenceError> {
  return checkBase(from, difference)
    .andThen(() => digestBundle(from.bundle))
    .andThen((base) => applyToDigested(base, difference))
    .map((later): SignedBundle => {
      const bundle = assembleBundle(later.parts.values());
      cacheDigests(bundle, later);
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
  if (tree.root !== claimed || !hasHeader(parts, difference)) {
    return err({ kind: "root-mismatch", claimed, computed: tree.root });
  }
  return ok({ parts, tree });
}

/** The header that the signature covers must be the one inside the bundle. */
function hasHeader(
  parts: ReadonlyMap<PartKey, BundlePart>,
  { deployment, toVersion }: BundleDifference,
): boolean {
  const scalars = parts.get("scalars" as PartKey);
  return scalars?.kind === "scalars" &&
    scalars.value.deployment === deployment &&
    scalars.value.version === toVersion;
}

function compareDigested(
  former: DigestedBundle,
  later: DigestedBundle,
): PartComparison {
  const changed: BundlePart[] = [];
  const removed: PartKey[] = [];
  for (const key of former.tree.differingKeys(later.tree)) {
    const part = later.parts.get(key);
    if (part === undefined) removed.push(key);
    else changed.push(part);
  }
  return { changed, removed };
}
