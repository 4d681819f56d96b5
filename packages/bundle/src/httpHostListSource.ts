import type { Milliseconds } from "@wasabivane/common";
import type { Result } from "neverthrow";
import { hostListSchema } from "./hostListSchema.ts";
import {
  type HostList,
  HostListSource,
  type PlatformError,
  type Revisioned,
} from "./platform.ts";
import {
  PlatformReader,
  type PlatformReaderOptions,
} from "./platformReader.ts";

/** Reads the host list of the platform over HTTP. */
export class HttpHostListSource extends HostListSource {
  readonly #reader: PlatformReader<HostList>;

  constructor(options: PlatformReaderOptions) {
    super();
    this.#reader = new PlatformReader(options, {
      path: "v1/hosts",
      schema: hostListSchema,
    });
  }

  override read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Result<Revisioned<HostList> | undefined, PlatformError>> {
    return this.#reader.read(options);
  }
}
