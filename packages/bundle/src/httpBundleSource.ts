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
 * Reads the bundle from the configuration service of the platform over HTTP.
 * It validates the schema; the caller must verify the signature.
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
