import { createHash } from "node:crypto";
import type { Digest } from "@wasabivane/common";
import { type BundlePart, type PartKey, partKey } from "./bundleParts.ts";
import { canonicalJson } from "./canonicalJson.ts";

/**
 * Buckets between parts and root. A bundle near a megabyte has about 13,000
 * parts, hence some 50 a bucket: one changed part re-hashes itself, 50 digests
 * and 256 bucket digests instead of a megabyte.
 */
const BUCKETS = 256;

type Bucket = ReadonlyMap<PartKey, Digest>;

/** Parts put in and taken out by {@link DigestTree.withChanges}. */
export interface DigestTreeChanges {
  readonly changed: Iterable<BundlePart>;
  readonly removed: Iterable<PartKey>;
}

/**
 * Digests of a bundle's parts in hashed buckets under one root. Immutable; a
 * changed tree shares the buckets that did not change.
 */
export class DigestTree {
  readonly #buckets: readonly Bucket[];
  readonly #bucketDigests: readonly Digest[];
  /** Equal roots mean equal sets of parts. */
  readonly root: Digest;

  private constructor(
    buckets: readonly Bucket[],
    bucketDigests: readonly Digest[],
  ) {
    this.#buckets = buckets;
    this.#bucketDigests = bucketDigests;
    this.root = digest("root", bucketDigests.join(""));
  }

  /** Digests every part. */
  static fromParts(parts: Iterable<BundlePart>): DigestTree {
    return EMPTY.withChanges({ changed: parts, removed: [] });
  }

  /** An empty tree, before any part. */
  static empty(): DigestTree {
    const buckets: Bucket[] = Array.from({ length: BUCKETS }, () => new Map());
    return new DigestTree(buckets, buckets.map(bucketDigest));
  }

  /** The tree after a change; only touched buckets are hashed again. */
  withChanges({ changed, removed }: DigestTreeChanges): DigestTree {
    const buckets = [...this.#buckets];
    const touched = new Map<number, Map<PartKey, Digest>>();
    for (const key of removed) {
      this.#bucketToChange(key, touched).delete(key);
    }
    for (const part of changed) {
      const key = partKey(part);
      this.#bucketToChange(key, touched).set(key, partDigest(part));
    }
    const bucketDigests = [...this.#bucketDigests];
    for (const [index, bucket] of touched) {
      buckets[index] = bucket;
      bucketDigests[index] = bucketDigest(bucket);
    }
    return new DigestTree(buckets, bucketDigests);
  }

  /** Whether a part with this key is in the tree. */
  has(key: PartKey): boolean {
    return this.#buckets[bucketIndex(key)]!.has(key);
  }

  /** Keys whose parts differ or stand in one tree only; equal buckets are skipped. */
  differingKeys(other: DigestTree): PartKey[] {
    const keys = new Set<PartKey>();
    for (let index = 0; index < BUCKETS; index++) {
      if (this.#bucketDigests[index] === other.#bucketDigests[index]) continue;
      addUnlike(keys, this.#buckets[index]!, other.#buckets[index]!);
      addUnlike(keys, other.#buckets[index]!, this.#buckets[index]!);
    }
    return [...keys].sort();
  }

  #bucketToChange(
    key: PartKey,
    touched: Map<number, Map<PartKey, Digest>>,
  ): Map<PartKey, Digest> {
    const index = bucketIndex(key);
    const bucket = touched.get(index) ?? new Map(this.#buckets[index]!);
    touched.set(index, bucket);
    return bucket;
  }
}

const EMPTY = DigestTree.empty();

function addUnlike(keys: Set<PartKey>, left: Bucket, right: Bucket): void {
  for (const [key, digest] of left) {
    if (right.get(key) !== digest) keys.add(key);
  }
}

function bucketIndex(key: PartKey): number {
  return createHash("sha256").update(key).digest()[0]! % BUCKETS;
}

function partDigest(part: BundlePart): Digest {
  return digest("part", `${partKey(part)}\0${canonicalJson(part.value)}`);
}

function bucketDigest(bucket: Bucket): Digest {
  const lines = [...bucket].map(([key, digest]) => `${key}\0${digest}\n`);
  return digest("bucket", lines.sort().join(""));
}

/** Each level hashes under its own label, so that no part can pass for a bucket. */
function digest(level: "part" | "bucket" | "root", text: string): Digest {
  const hash = createHash("sha256").update(level).update("\0").update(text);
  return hash.digest("hex") as Digest;
}
