import { Buffer } from "node:buffer";
import {
  createPublicKey,
  generateKeyPairSync,
  type KeyObject,
  sign,
  verify,
} from "node:crypto";
import type { BundleVersion, Digest } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  assembleBundle,
  bundleParts,
  type DuplicatePart,
} from "./bundleParts.ts";
import { canonicalJson } from "./canonicalJson.ts";
import { digestBundle } from "./digestedBundle.ts";
import { DigestTree } from "./digestTree.ts";
import type { Bundle } from "./schema.ts";
import type { BundleSignature, SignedBundle } from "./signedBundle.ts";

/** Separates bundle signatures from other uses of the same key. */
const SIGNATURE_LABEL = "wasabivane bundle 1\n";

/** Allows for the current key and its successor. */
export const MAX_TRUSTED_KEYS = 2;

/** The schema of a public key that the settings trust. */
export const trustedKeySchema = z.strictObject({
  keyId: z.string().min(1).max(64).regex(
    /^[A-Za-z0-9._-]+$/,
    "Use letters, digits, dots, dashes and underscores",
  ),
  /** Ed25519 public key in SPKI DER form as base64, as printed by `keygen`. */
  publicKey: z.base64().max(128).refine(
    (text) => importPublicKey(text) !== undefined,
    "Use the base64 text of an Ed25519 public key, as keygen prints it",
  ),
});

/** The schema of the trusted keys; two are valid during a key rotation. */
export const trustedKeysSchema = z.array(trustedKeySchema).min(1).max(
  MAX_TRUSTED_KEYS,
);

/** A trusted public key; see {@link trustedKeySchema}. */
export type TrustedKey = z.infer<typeof trustedKeySchema>;

/** A private key with the id of its public key in the settings. */
export interface SigningKey {
  readonly keyId: string;
  readonly privateKey: KeyObject;
}

/** The reason that a signed bundle is rejected. */
export type SignatureError =
  | DuplicatePart
  | {
    readonly kind: "root-mismatch";
    readonly claimed: Digest;
    readonly computed: Digest;
  }
  | { readonly kind: "unknown-key"; readonly keyIds: readonly string[] }
  | { readonly kind: "bad-signature"; readonly keyId: string };

/** The data that a signature covers. */
export interface SignedHeader {
  readonly deployment: string;
  readonly version: BundleVersion;
  readonly root: Digest;
}

/** Generates an Ed25519 key pair. */
export function generateSigningKey(
  keyId: string,
): SigningKey & { readonly trustedKey: TrustedKey } {
  const { privateKey } = generateKeyPairSync("ed25519");
  const signingKey = { keyId, privateKey };
  return { ...signingKey, trustedKey: trustedKeyOf(signingKey) };
}

/** Returns the public key of a signing key in the form of the settings. */
export function trustedKeyOf({ keyId, privateKey }: SigningKey): TrustedKey {
  const der = createPublicKey(privateKey).export({
    type: "spki",
    format: "der",
  });
  return { keyId, publicKey: der.toString("base64") };
}

/** Signs a bundle and sorts its lists. */
export function signBundle(
  bundle: Bundle,
  signingKey: SigningKey,
): Result<SignedBundle, DuplicatePart> {
  return bundleParts(bundle).map((parts) => {
    const { root } = DigestTree.fromParts(parts.values());
    const signature = signHeader({ ...bundle, root }, signingKey);
    return {
      bundle: assembleBundle(parts.values()),
      root,
      signatures: [signature],
    };
  });
}

/** Adds or replaces the signature by one key, for a key rotation. */
export function addSignature(
  signed: SignedBundle,
  signingKey: SigningKey,
): SignedBundle {
  const others = signed.signatures.filter(({ keyId }) =>
    keyId !== signingKey.keyId
  );
  const signature = signHeader(headerOf(signed), signingKey);
  return { ...signed, signatures: [...others, signature] };
}

/**
 * Verifies the root digest and that at least one trusted key signed the
 * bundle, which must have passed its schema. Signatures by other keys are
 * ignored; cached digests are reused.
 */
export function verifySignedBundle(
  signed: SignedBundle,
  trustedKeys: readonly TrustedKey[],
): Result<SignedBundle, SignatureError> {
  return digestBundle(signed.bundle)
    .andThen(({ tree }): Result<SignedBundle, SignatureError> => {
      const computed = tree.root;
      if (computed === signed.root) return ok(signed);
      return err({ kind: "root-mismatch", claimed: signed.root, computed });
    })
    .andThen(() => verifySignatures(signed, trustedKeys));
}

/** Verifies the signatures of a bundle whose root digest was verified. */
export function verifySignatures(
  signed: SignedBundle,
  trustedKeys: readonly TrustedKey[],
): Result<SignedBundle, SignatureError> {
  let failedKeyId: string | undefined;
  for (const signature of signed.signatures) {
    const key = trustedKeys.find(({ keyId }) => keyId === signature.keyId);
    if (key === undefined) continue;
    if (isSignedBy(headerOf(signed), { signature, key })) return ok(signed);
    failedKeyId = signature.keyId;
  }
  if (failedKeyId !== undefined) {
    return err({ kind: "bad-signature", keyId: failedKeyId });
  }
  const keyIds = signed.signatures.map(({ keyId }) => keyId);
  return err({ kind: "unknown-key", keyIds });
}

function headerOf({ bundle, root }: SignedBundle): SignedHeader {
  return { deployment: bundle.deployment, version: bundle.version, root };
}

function headerBytes({ deployment, version, root }: SignedHeader): Buffer {
  const text = canonicalJson({ deployment, version, root });
  return Buffer.from(SIGNATURE_LABEL + text, "utf8");
}

function signHeader(
  header: SignedHeader,
  { keyId, privateKey }: SigningKey,
): BundleSignature {
  const signature = sign(null, headerBytes(header), privateKey);
  return { keyId, signature: signature.toString("base64") };
}

function isSignedBy(
  header: SignedHeader,
  { signature, key }: { signature: BundleSignature; key: TrustedKey },
): boolean {
  const publicKey = importPublicKey(key.publicKey);
  if (publicKey === undefined) return false;
  const bytes = Buffer.from(signature.signature, "base64");
  return verify(null, headerBytes(header), publicKey, bytes);
}

function importPublicKey(text: string): KeyObject | undefined {
  try {
    const key = createPublicKey({
      key: Buffer.from(text, "base64"),
      format: "der",
      type: "spki",
    });
    return key.asymmetricKeyType === "ed25519" ? key : undefined;
  } catch {
    return undefined;
  }
}
