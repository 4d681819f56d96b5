import { Buffer } from "node:buffer";
import { createHash, createPrivateKey } from "node:crypto";
import type { ClientAccountId } from "@wasabivane/common";
import type { SigningKey } from "./bundleSignature.ts";

/** The DER bytes before the seed of an Ed25519 key in PKCS #8 (RFC 8410). */
const PKCS8_ED25519_PREFIX = Buffer.from(
  "302e020100300506032b657004220420",
  "hex",
);

/** Derives a signing key from its id; not secret, for demos and tests only. */
export function exampleSigningKey(keyId = "example-1"): SigningKey {
  const seed = createHash("sha256").update(`example key ${keyId}`).digest();
  const privateKey = createPrivateKey({
    key: Buffer.concat([PKCS8_ED25519_PREFIX, seed]),
    format: "der",
    type: "pkcs8",
  });
  return { keyId, privateKey };
}

/** Returns the API key of an account in example bundles; not secret. */
export function demoApiKey(account: ClientAccountId | string): string {
  return `demo-key-of-${account}`;
}

/** Returns the SHA-256 digest of an API key in hex, as stored in bundles. */
export function apiKeyDigest(apiKey: string): string {
  return createHash("sha256").update(apiKey).digest("hex");
}
