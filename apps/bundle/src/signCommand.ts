import {
  addSignature,
  type BundleFile,
  readBundleFile,
  signBundle,
  type SignedBundle,
  type SigningKey,
} from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import { documentErrorsReport } from "./documentErrorsReport.ts";
import { keyFileErrorReport, readPrivateKey } from "./readPrivateKey.ts";
import { fileWriteErrorReport, writeNewFile } from "./writeNewFile.ts";

/** Options of {@link signCommand}. */
export interface SignOptions {
  /** File of the private key. */
  readonly keyFile: string;
  readonly keyId: string;
  readonly out?: string;
}

/** Checks and signs a bundle; adds a signature if it is already signed. */
export function signCommand(
  file: string,
  { keyFile, keyId, out }: SignOptions,
): CommandReport {
  const privateKey = readPrivateKey(keyFile);
  if (privateKey.isErr()) return keyFileErrorReport(privateKey.error);
  const signingKey = { keyId, privateKey: privateKey.value };
  return readBundleFile(file).match(
    (bundleFile) => signReport(bundleFile, { file, signingKey, out }),
    documentErrorsReport,
  );
}

function signReport(
  { bundle, signed }: BundleFile,
  { file, signingKey, out }: {
    file: string;
    signingKey: SigningKey;
    out?: string;
  },
): CommandReport {
  const newlySigned = signBundle(bundle, signingKey)._unsafeUnwrap();
  if (signed === undefined) return outputReport(newlySigned, out);
  if (signed.root !== newlySigned.root) return rootMismatchReport(file);
  return outputReport(addSignature(signed, signingKey), out);
}

/**
 * Signing altered parts would approve a change that the earlier signers did not
 * see.
 */
function rootMismatchReport(file: string): CommandReport {
  const message = "The bundle was altered after it was signed";
  return {
    exitCode: EXIT_FINDINGS,
    data: { errors: [{ kind: "root-mismatch", file, message }] },
    lines: [`${file}: ${message}; allowed: a bundle without signatures`],
  };
}

function outputReport(signed: SignedBundle, out?: string): CommandReport {
  if (out === undefined) {
    const lines = [JSON.stringify(signed, null, 1)];
    return { exitCode: EXIT_OK, data: signed, lines };
  }
  const { deployment, version } = signed.bundle;
  const { root } = signed;
  return writeNewFile(out, { text: `${JSON.stringify(signed, null, 1)}\n` })
    .match(
      () => ({
        exitCode: EXIT_OK,
        data: { file: out, deployment, version, root },
        lines: [`Wrote version ${version} of ${deployment} to ${out}`, root],
      }),
      fileWriteErrorReport,
    );
}
