import { createHash } from "node:crypto";
import type { Digest } from "@wasabivane/common";
import { type BundlePart, type PartKey, partKey } from "./bundleParts.ts";
import { canonicalJson } from "./canonicalJson.ts";

/** Limits rehashing after a change to one bucket and the root. */
const BUCKET_COUNT = 256;

type Bucket = ReadonlyMap<PartKey, Digest>;

/** The parts that {@link DigestTree.withChanges} adds, replaces and removes. */
export interface DigestTreeChanges {
  readonly changed: Iterable<BundlePart>;
  readonly removed: Iterable<PartKey>;
}

/**
 * An immutable hash tree over the parts of a bundle, grouped into buckets by
 * the hash of their key. Changed trees share the unchanged buckets.
 */
export class DigestTree {
  readonly #buckets: readonly Bucket[];
  readonly #bucketDigests: readonly Digest[];
  /** The root digest; equal roots mean equal sets of parts. */
  readonly root: Digest;

  private constructor(
    buckets: readonly Bucket[],
    bucketDigests: readonly Digest[],
  ) {
    this.#buckets = buckets;
    this.#bucketDigests = bucketDigests;
    this.root = digest("root", bucketDigests.join(""));
  }

  /** Builds the tree over all parts. */
  static fromParts(parts: Iterable<BundlePart>): DigestTree {
    return EMPTY.withChanges({ changed: parts, removed: [] });
  }

  /** Creates a tree without parts. */
  static empty(): DigestTree {
    const buckets: Bucket[] = Array.from(
      { length: BUCKET_COUNT },
      () => new Map(),
    );
    return new DigestTree(buckets, buckets.map(bucketDigest));
  }

  /** Returns the changed tree; only changed buckets are hashed again. */
  withChanges({ changed, removed }: DigestTreeChanges): DigestTree {
    const buckets = [...this.#buckets];
    const changedBuckets = new Map<number, Map<PartKey, Digest>>();
    for (const key of removed) {
      this.#copyBucket(key, changedBuckets).delete(key);
    }
    for (const part of changed) {
      const key = partKey(part);
      this.#copyBucket(key, changedBuckets).set(key, partDigest(part));
    }
    const bucketDigests = [...this.#bucketDigests];
    for (const [index, bucket] of changedBuckets) {
      buckets[index] = bucket;
      bucketDigests[index] = bucketDigest(bucket);
    }
    return new DigestTree(buckets, bucketDigests);
  }

  /** Returns whether the tree has a part with this key. */
  has(key: PartKey): boolean {
    return this.#buckets[bucketIndex(key)]!.has(key);
  }

  /** Returns the sorted keys of parts that differ or exist in one tree only. */
  differingKeys(other: DigestTree): PartKey[] {
    const keys = new Set<PartKey>();
    for (let index = 0; index < BUCKET_COUNT; index++) {
      if (this.#bucketDigests[index] === other.#bucketDigests[index]) continue;
      addDifferingKeys(keys, this.#buckets[index]!, other.#buckets[index]!);
      addDifferingKeys(keys, other.#buckets[index]!, this.#buckets[index]!);
    }
    return [...keys].sort();
  }

  #copyBucket(
    key: PartKey,
    changedBuckets: Map<number, Map<PartKey, Digest>>,
  ): Map<PartKey, Digest> {
    const index = bucketIndex(key);
    const bucket = changedBuckets.get(index) ?? new Map(this.#buckets[index]!);
    changedBuckets.set(index, bucket);
    return bucket;
  }
}

const EMPTY = DigestTree.empty();

function addDifferingKeys(
  keys: Set<PartKey>,
  left: Bucket,
  right: Bucket,
): void {
  for (const [key, digest] of left) {
    if (right.get(key) !== digest) keys.add(key);
  }
}

function bucketIndex(key: PartKey): number {
  return createHash("sha256").update(key).digest()[0]! % BUCKET_COUNT;
}

function partDigest(part: BundlePart): Digest {
  return digest("part", `${partKey(part)}\0${canonicalJson(part.value)}`);
}

function bucketDigest(bucket: Bucket): Digest {
  const lines = [...bucket].map(([key, digest]) => `${key}\0${digest}\n`);
  return digest("bucket", lines.sort().join(""));
}

/** Labels each level, so that a part cannot collide with a bucket. */
function digest(level: "part" | "bucket" | "root", text: string): Digest {
  const hash = createHash("sha256").update(level).update("\0").update(text);
  return hash.digest("hex") as Digest;
}
