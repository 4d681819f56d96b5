import {
  readSignedBundle,
  readTrustedKeys,
  type SignatureError,
  type SignedBundle,
  verifySignedBundle,
} from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import { documentErrorsReport } from "./documentErrorsReport.ts";

/** Verifies a signed bundle as an entry host with these trusted keys would. */
export function verifyCommand(
  file: string,
  { trustedKeysFile }: { trustedKeysFile: string },
): CommandReport {
  const trustedKeys = readTrustedKeys(trustedKeysFile);
  if (trustedKeys.isErr()) return documentErrorsReport(trustedKeys.error);
  const signed = readSignedBundle(file);
  if (signed.isErr()) return documentErrorsReport(signed.error);
  return verifySignedBundle(signed.value, trustedKeys.value).match(
    trustedReport,
    (error) => untrustedReport(error, file),
  );
}

function trustedReport(
  { bundle, root, signatures }: SignedBundle,
): CommandReport {
  const { deployment, version } = bundle;
  const keyIds = signatures.map(({ keyId }) => keyId);
  return {
    exitCode: EXIT_OK,
    data: { isTrusted: true, deployment, version, root, keyIds },
    lines: [
      `Version ${version} of ${deployment} is trusted`,
      `root ${root}`,
      `signed by ${keyIds.join(", ")}`,
    ],
  };
}

function untrustedReport(error: SignatureError, file: string): CommandReport {
  return {
    exitCode: EXIT_FINDINGS,
    data: { isTrusted: false, error },
    lines: [`${file}: ${formatSignatureError(error)}`],
  };
}

function formatSignatureError(error: SignatureError): string {
  switch (error.kind) {
    case "duplicate-part":
      return `Two parts have the key ${error.key}`;
    case "root-mismatch":
      return "The bundle was altered after it was signed";
    case "unknown-key":
      return `No trusted key signed it; signed by ${error.keyIds.join(", ")}`;
    case "bad-signature":
      return `The signature of key ${error.keyId} is invalid`;
  }
}
