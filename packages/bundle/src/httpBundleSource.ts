import type { Milliseconds } from "@wasabivane/common";
import type { Result } from "neverthrow";
import {
  BundleSource,
  type PlatformError,
  type Revisioned,
} from "./platform.ts";
import {
  PlatformReader,
  type PlatformReaderOptions,
} from "./platformReader.ts";
import { type SignedBundle, signedBundleSchema } from "./signedBundle.ts";

/**
 * Reads the bundle at the platform's configuration service over HTTP. What it
 * gives fits the schema; the signature is the caller's to check.
 */
export class HttpBundleSource extends BundleSource {
  readonly #reader: PlatformReader<SignedBundle>;

  constructor(options: PlatformReaderOptions) {
    super();
    this.#reader = new PlatformReader(options, {
      path: "v1/values/bundle",
      schema: signedBundleSchema,
    });
  }

  override read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Result<Revisioned<SignedBundle> | undefined, PlatformError>> {
    return this.#reader.read(options);
  }
}
