import {
  readSignedBundle,
  readTrustedKeys,
  type SignatureError,
  type SignedBundle,
  verifySignedBundle,
} from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import { documentErrorsReport } from "./documentErrorsReport.ts";

/** Says whether an entry host with these pinned keys would take the bundle. */
export function verifyCommand(
  file: string,
  { trust }: { trust: string },
): CommandReport {
  const trustedKeys = readTrustedKeys(trust);
  if (trustedKeys.isErr()) return documentErrorsReport(trustedKeys.error);
  const signed = readSignedBundle(file);
  if (signed.isErr()) return documentErrorsReport(signed.error);
  return verifySignedBundle(signed.value, trustedKeys.value).match(
    verifiedReport,
    (error) => refusedReport(error, file),
  );
}

function verifiedReport(
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

function refusedReport(error: SignatureError, file: string): CommandReport {
  return {
    exitCode: EXIT_FINDINGS,
    data: { isTrusted: false, error },
    lines: [`${file}: ${messageOf(error)}`],
  };
}

function messageOf(error: SignatureError): string {
  switch (error.kind) {
    case "duplicate-part":
      return `Two parts stand under ${error.key}`;
    case "root-mismatch":
      return "The bundle was altered after it was signed";
    case "unknown-key":
      return `No trusted key signed it; signed by ${error.keyIds.join(", ")}`;
    case "bad-signature":
      return `The signature of key ${error.keyId} does not fit`;
  }
}
