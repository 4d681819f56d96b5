import type { Result } from "neverthrow";
import { z } from "zod";
import { checkBundle } from "./bundleChecks.ts";
import { type DocumentError, readDocument } from "./jsonDocument.ts";
import { type Bundle, bundleSchema } from "./schema.ts";
import { type SignedBundle, signedBundleSchema } from "./signedBundle.ts";

/** The content of a bundle file, which may be signed. */
export interface BundleFile {
  readonly bundle: Bundle;
  readonly signed?: SignedBundle;
}

const anyObjectSchema = z.looseObject({});

/** Reads and validates a bundle file, unsigned or signed. */
export function readBundleFile(
  file: string,
): Result<BundleFile, DocumentError[]> {
  return readDocument(file, anyObjectSchema).andThen((value) =>
    "signatures" in value
      ? readSignedBundle(file).map((signed) => ({
        bundle: signed.bundle,
        signed,
      }))
      : readPlainBundle(file).map((bundle) => ({ bundle }))
  );
}

/** Reads and validates a signed bundle without verifying its signatures. */
export function readSignedBundle(
  file: string,
): Result<SignedBundle, DocumentError[]> {
  return readDocument(file, signedBundleSchema, {
    check: ({ bundle }) =>
      checkBundle(bundle).map((finding) => ({
        ...finding,
        path: ["bundle", ...finding.path],
      })),
  });
}

function readPlainBundle(file: string): Result<Bundle, DocumentError[]> {
  return readDocument(file, bundleSchema, { check: checkBundle });
}
