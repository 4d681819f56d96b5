import type { Result } from "neverthrow";
import { z } from "zod";
import { type TrustedKey, trustedKeysSchema } from "./bundleSignature.ts";
import { type DocumentError, readDocument } from "./jsonDocument.ts";

/** Accepts a list of keys or the settings of an entry host. */
const trustedKeysFileSchema = z.union([
  z.array(z.unknown()),
  z.looseObject({}),
]);
const settingsWithKeysSchema = z.looseObject({
  trustedKeys: trustedKeysSchema,
});

/** Reads trusted keys from a list or from settings with `trustedKeys`. */
export function readTrustedKeys(
  file: string,
): Result<TrustedKey[], DocumentError[]> {
  return readDocument(file, trustedKeysFileSchema).andThen((value) =>
    Array.isArray(value)
      ? readDocument(file, trustedKeysSchema)
      : readDocument(file, settingsWithKeysSchema).map((settings) =>
        settings.trustedKeys
      )
  );
}
