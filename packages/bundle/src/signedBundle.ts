import type { Digest } from "@wasabivane/common";
import type { Bundle } from "./schema.ts";

/** One signature over the bundle's version and root digest. */
export interface BundleSignature {
  readonly keyId: string;
  /** Ed25519 signature in base64. */
  readonly signature: string;
}

/** A bundle with its root digest and at least one signature. */
export interface SignedBundle {
  readonly bundle: Bundle;
  /** Root of the digest tree over the bundle's parts. */
  readonly root: Digest;
  readonly signatures: readonly BundleSignature[];
}
