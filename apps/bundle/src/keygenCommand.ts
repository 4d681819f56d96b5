import { createHash } from "node:crypto";
import { generateSigningKey, trustedKeyOf } from "@wasabivane/bundle";
import { type CommandReport, EXIT_OK } from "@wasabivane/common";
import {
  fileWriteErrorReport,
  PRIVATE_FILE_MODE,
  writeNewFile,
} from "./writeNewFile.ts";

const KEY_ID_HEX_DIGITS = 8;

/** Options of {@link keygenCommand}. */
export interface KeygenOptions {
  readonly keyId?: string;
  readonly out?: string;
}

/**
 * Writes a new private key and reports its public key in the form that settings
 * use.
 */
export function keygenCommand(options: KeygenOptions): CommandReport {
  const { privateKey, trustedKey } = generateSigningKey("");
  const keyId = options.keyId ?? deriveKeyId(trustedKey.publicKey);
  const file = options.out ?? `${keyId}.pem`;
  const text = privateKey.export({ type: "pkcs8", format: "pem" }).toString();
  const pinnedKey = trustedKeyOf({ keyId, privateKey });
  return writeNewFile(file, { text, mode: PRIVATE_FILE_MODE }).match(
    () => ({
      exitCode: EXIT_OK,
      data: { file, trustedKey: pinnedKey },
      lines: [
        `Wrote the private key to ${file}; add this to trustedKeys in settings:`,
        JSON.stringify(pinnedKey),
      ],
    }),
    fileWriteErrorReport,
  );
}

/** Derives a key id from the digest of the public key. */
function deriveKeyId(publicKey: string): string {
  const digest = createHash("sha256").update(publicKey).digest("hex");
  return `key-${digest.slice(0, KEY_ID_HEX_DIGITS)}`;
}
