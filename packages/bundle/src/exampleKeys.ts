import { Buffer } from "node:buffer";
import { createHash, createPrivateKey } from "node:crypto";
import type { ClientAccountId } from "@wasabivane/common";
import type { SigningKey } from "./bundleSignature.ts";

/** DER bytes of a PKCS #8 Ed25519 key up to its 32-byte seed (RFC 8410). */
const PKCS8_ED25519_PREFIX = Buffer.from(
  "302e020100300506032b657004220420",
  "hex",
);

/** Known to everyone who can read this: for demos and tests only. */
export function exampleSigningKey(keyId = "example-1"): SigningKey {
  const seed = createHash("sha256").update(`example key ${keyId}`).digest();
  const privateKey = createPrivateKey({
    key: Buffer.concat([PKCS8_ED25519_PREFIX, seed]),
    format: "der",
    type: "pkcs8",
  });
  return { keyId, privateKey };
}

/** The API key that example bundles hold a digest of; for demos and tests only. */
export function demoApiKey(account: ClientAccountId | string): string {
  return `demo-key-of-${account}`;
}

/** SHA-256 of an API key in hex, as a bundle holds it. */
export function apiKeyDigest(apiKey: string): string {
  return createHash("sha256").update(apiKey).digest("hex");
}
