import { createPrivateKey, type KeyObject } from "node:crypto";
import { readFileSync } from "node:fs";
import { type CommandReport, EXIT_FINDINGS } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";

/** Error of a key file that cannot be used. */
export interface KeyFileError {
  readonly kind: "unusable-key";
  readonly file: string;
  readonly message: string;
}

/** Reads an Ed25519 private key in PEM format. */
export function readPrivateKey(file: string): Result<KeyObject, KeyFileError> {
  try {
    const privateKey = createPrivateKey(readFileSync(file));
    if (privateKey.asymmetricKeyType === "ed25519") return ok(privateKey);
  } catch (error) {
    const { code = "" } = error as NodeJS.ErrnoException;
    if (code.startsWith("E") && !code.startsWith("ERR_")) {
      const message = `Cannot read the file (${code})`;
      return err({ kind: "unusable-key", file, message });
    }
  }
  const message =
    "The file does not contain an Ed25519 private key in PEM format";
  return err({ kind: "unusable-key", file, message });
}

/** Creates the report of a key file that cannot be used. */
export function keyFileErrorReport(error: KeyFileError): CommandReport {
  return {
    exitCode: EXIT_FINDINGS,
    data: { errors: [error] },
    lines: [
      `${error.file}: ${error.message}; allowed: a file that keygen wrote`,
    ],
  };
}
