import type { Result } from "neverthrow";
import { z } from "zod";
import { type TrustedKey, trustedKeysSchema } from "./bundleSignature.ts";
import { type DocumentError, readDocument } from "./jsonDocument.ts";

/** A list of keys, or settings of an entry host. */
const trustFileSchema = z.union([z.array(z.unknown()), z.looseObject({})]);
const trustInSettingsSchema = z.looseObject({ trustedKeys: trustedKeysSchema });

/** Reads pinned keys: a list of them, or settings that hold `trustedKeys`. */
export function readTrustedKeys(
  file: string,
): Result<TrustedKey[], DocumentError[]> {
  return readDocument(file, trustFileSchema).andThen((value) =>
    Array.isArray(value)
      ? readDocument(file, trustedKeysSchema)
      : readDocument(file, trustInSettingsSchema).map((settings) =>
        settings.trustedKeys
      )
  );
}
