import type { Digest } from "@wasabivane/common";
import { z } from "zod";
import { type Bundle, bundleSchema } from "./schema.ts";

const ED25519_SIGNATURE = /^[A-Za-z0-9+/]{86}==$/;

/** The schema of a SHA-256 digest in lower-case hex. */
export const digestSchema = z.string().regex(
  /^[0-9a-f]{64}$/,
  "Use 64 lower-case hex digits",
) as unknown as z.ZodType<Digest>;

/** The schema of a {@link BundleSignature}. */
export const bundleSignatureSchema = z.strictObject({
  keyId: z.string().min(1).max(64),
  signature: z.string().regex(
    ED25519_SIGNATURE,
    "Use the base64 text of an Ed25519 signature",
  ),
});

/** The schema of a {@link SignedBundle} in files and on the platform. */
export const signedBundleSchema = z.strictObject({
  bundle: bundleSchema,
  root: digestSchema,
  signatures: z.array(bundleSignatureSchema).min(1).max(4),
});

/** A signature over the deployment, version and root digest of a bundle. */
export interface BundleSignature {
  readonly keyId: string;
  /** The Ed25519 signature in base64. */
  readonly signature: string;
}

/** A bundle with its root digest and at least one signature. */
export interface SignedBundle {
  readonly bundle: Bundle;
  /** The root of the digest tree over the bundle's parts. */
  readonly root: Digest;
  readonly signatures: readonly BundleSignature[];
}
