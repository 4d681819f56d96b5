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

/** Separates these signatures from any other use of the same key. */
const SIGNATURE_LABEL = "wasabivane bundle 1\n";

/** Settings pin at most this many keys: the one in use and the next one. */
export const MAX_TRUSTED_KEYS = 2;

/** A public key that settings pin. */
export const trustedKeySchema = z.strictObject({
  keyId: z.string().min(1).max(64).regex(
    /^[A-Za-z0-9._-]+$/,
    "Use letters, digits, dots, dashes and underscores",
  ),
  /** Ed25519 public key: base64 of its SPKI DER form, as `keygen` prints it. */
  publicKey: z.base64().max(128).refine(
    (text) => importPublicKey(text) !== undefined,
    "Use the base64 text of an Ed25519 public key, as keygen prints it",
  ),
});

/** The pinned keys; two are valid during a change of keys. */
export const trustedKeysSchema = z.array(trustedKeySchema).min(1).max(
  MAX_TRUSTED_KEYS,
);

/** See {@link trustedKeySchema}. */
export type TrustedKey = z.infer<typeof trustedKeySchema>;

/** A private key under the id by which settings pin its public half. */
export interface SigningKey {
  readonly keyId: string;
  readonly privateKey: KeyObject;
}

/** Why a signed bundle is not taken. */
export type SignatureError =
  | DuplicatePart
  | {
    readonly kind: "root-mismatch";
    readonly claimed: Digest;
    readonly computed: Digest;
  }
  | { readonly kind: "unknown-key"; readonly keyIds: readonly string[] }
  | { readonly kind: "bad-signature"; readonly keyId: string };

/** What a signature covers. */
export interface SignedHeader {
  readonly deployment: string;
  readonly version: BundleVersion;
  readonly root: Digest;
}

/** A fresh Ed25519 key pair under an id. */
export function generateSigningKey(
  keyId: string,
): SigningKey & { readonly trustedKey: TrustedKey } {
  const { privateKey } = generateKeyPairSync("ed25519");
  const signingKey = { keyId, privateKey };
  return { ...signingKey, trustedKey: trustedKeyOf(signingKey) };
}

/** The public half of a signing key, as settings pin it. */
export function trustedKeyOf({ keyId, privateKey }: SigningKey): TrustedKey {
  const der = createPublicKey(privateKey).export({
    type: "spki",
    format: "der",
  });
  return { keyId, publicKey: der.toString("base64") };
}

/** Signs a bundle; its lists come out in sorted order. */
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

/** Adds a signature by a second key, for a change of keys. */
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
 * Digests the whole bundle, unless its digests were computed here when a
 * difference was applied, and checks that one signature by a trusted key
 * covers it. The bundle must have passed its schema; signatures by keys that
 * are not trusted do no harm.
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

/** Checks the signatures only, where the root has been checked against the parts already. */
export function verifySignatures(
  signed: SignedBundle,
  trustedKeys: readonly TrustedKey[],
): Result<SignedBundle, SignatureError> {
  let failed: string | undefined;
  for (const signature of signed.signatures) {
    const key = trustedKeys.find(({ keyId }) => keyId === signature.keyId);
    if (key === undefined) continue;
    if (isSignedBy(headerOf(signed), { signature, key })) return ok(signed);
    failed = signature.keyId;
  }
  if (failed !== undefined) {
    return err({ kind: "bad-signature", keyId: failed });
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
