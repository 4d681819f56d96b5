import type { Buffer } from "node:buffer";
import { type Milliseconds, SystemTimer, type Timer } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { request as undiciRequest } from "undici";
import { z } from "zod";
import { readBoundedBody } from "./readBoundedBody.ts";
import { formatPath } from "./finding.ts";
import type { PlatformError, Revisioned } from "./platform.ts";
import { schemaFindings } from "./schemaFindings.ts";

const RESPONSE_MARGIN_MS: Milliseconds = 1_000;
/** One megabyte for the value plus the envelope. */
const MAX_RESPONSE_BYTES = 1_100_000;
const DEFAULT_RETRY_AFTER_MS: Milliseconds = 1_000;
/** Prevents an invalid Retry-After header from stopping reads. */
const MAX_RETRY_AFTER_MS: Milliseconds = 600_000;
const MAX_REPORTED_FINDINGS = 3;

/** The part of an HTTP response that {@link PlatformReader} uses. */
export interface PlatformResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: AsyncIterable<Uint8Array>;
}

/** Sends a GET request; compatible with undici's `request`. */
export type PlatformFetch = (
  url: URL,
  options: { readonly signal: AbortSignal },
) => Promise<PlatformResponse>;

/** Options of a {@link PlatformReader}. */
export interface PlatformReaderOptions {
  /** Base URL of the platform service. */
  readonly url: string;
  readonly request?: PlatformFetch;
  readonly timer?: Timer;
  /** Time for a response in addition to `waitMs`. */
  readonly responseMarginMs?: Milliseconds;
  readonly maximumBytes?: number;
}

/** Options of {@link PlatformReader.read}. */
export interface PlatformReadOptions {
  /** The newest revision that the caller has. */
  readonly afterRevision: number;
  /** The maximum time to wait for a newer revision. */
  readonly waitMs: Milliseconds;
}

/** Reads a value from the platform, with size limit, timeout and schema. */
export class PlatformReader<Value> {
  readonly #url: URL;
  readonly #schema: z.ZodType<Revisioned<Value>>;
  readonly #request: PlatformFetch;
  readonly #timer: Timer;
  readonly #responseMarginMs: Milliseconds;
  readonly #maximumBytes: number;

  constructor(
    { url, request = undiciRequest, timer = new SystemTimer(), ...limits }:
      PlatformReaderOptions,
    { path, schema }: { path: string; schema: z.ZodType<Value> },
  ) {
    this.#url = new URL(path, withTrailingSlash(url));
    this.#schema = revisionedSchema(schema);
    this.#request = request;
    this.#timer = timer;
    this.#responseMarginMs = limits.responseMarginMs ?? RESPONSE_MARGIN_MS;
    this.#maximumBytes = limits.maximumBytes ?? MAX_RESPONSE_BYTES;
  }

  /** Returns a newer value, or `undefined` if there is none in time. */
  async read(
    options: PlatformReadOptions,
  ): Promise<Result<Revisioned<Value> | undefined, PlatformError>> {
    const abort = new AbortController();
    const timeout = this.#timer.after(
      options.waitMs + this.#responseMarginMs,
      () => abort.abort(new Error("Timeout before the complete response")),
    );
    try {
      return await this.#exchange(options, abort.signal);
    } catch (error) {
      return err({ kind: "unreachable", detail: detailOf(error) });
    } finally {
      timeout.cancel();
    }
  }

  async #exchange(
    { afterRevision, waitMs }: PlatformReadOptions,
    signal: AbortSignal,
  ): Promise<Result<Revisioned<Value> | undefined, PlatformError>> {
    const url = new URL(this.#url);
    url.searchParams.set("after", String(afterRevision));
    url.searchParams.set("waitMs", String(waitMs));
    const response = await this.#request(url, { signal });
    const bytes = await readBoundedBody(response.body, this.#maximumBytes);
    if (bytes === undefined) return this.#tooLargeError();
    if (response.statusCode === 304) return ok(undefined);
    if (response.statusCode === 429) {
      return err(this.#overBudgetError(response));
    }
    if (response.statusCode !== 200) {
      const detail =
        `The platform responded with status ${response.statusCode}`;
      return err({ kind: "unreachable", detail });
    }
    return this.#parse(bytes).map((revisioned) =>
      // The platform may return an older revision, for example after a restore.
      revisioned.revision > afterRevision ? revisioned : undefined
    );
  }

  #tooLargeError(): Result<never, PlatformError> {
    const detail = `The response is larger than ${this.#maximumBytes} bytes`;
    return err({ kind: "malformed", detail });
  }

  #overBudgetError({ headers }: PlatformResponse): PlatformError {
    const header = [headers["retry-after"]].flat()[0];
    const retryAfterMs = retryAfterOf(header, this.#timer.wallNow());
    return { kind: "over-budget", retryAfterMs };
  }

  #parse(bytes: Buffer): Result<Revisioned<Value>, PlatformError> {
    return parseJson(bytes).andThen(
      (value): Result<Revisioned<Value>, PlatformError> => {
        const parsed = this.#schema.safeParse(value);
        if (parsed.success) return ok(parsed.data);
        const { issues } = parsed.error;
        const findings = schemaFindings(this.#schema, { issues, value });
        const detail = findings.slice(0, MAX_REPORTED_FINDINGS).map(
          ({ path, message }) => `${formatPath(path)}: ${message}`,
        ).join("; ");
        return err({ kind: "malformed", detail });
      },
    );
  }
}

function revisionedSchema<Value>(
  value: z.ZodType<Value>,
): z.ZodType<Revisioned<Value>> {
  const revision = z.number().int().min(0);
  return z.object({ revision, value }) as unknown as z.ZodType<
    Revisioned<Value>
  >;
}

function parseJson(bytes: Buffer): Result<unknown, PlatformError> {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    return ok(JSON.parse(text));
  } catch {
    const detail = "The response is not JSON in UTF-8";
    return err({ kind: "malformed", detail });
  }
}

/** Parses a Retry-After header: seconds or a date (RFC 9110). */
function retryAfterOf(
  header: string | undefined,
  wallNow: number,
): Milliseconds {
  if (header === undefined) return DEFAULT_RETRY_AFTER_MS;
  const wait = /^\d+$/.test(header.trim())
    ? Number(header) * 1_000
    : Date.parse(header) - wallNow;
  if (Number.isNaN(wait)) return DEFAULT_RETRY_AFTER_MS;
  return Math.min(Math.max(wait, 0), MAX_RETRY_AFTER_MS);
}

function detailOf(error: unknown): string {
  if (!(error instanceof Error)) return "The request failed";
  const { code } = error as NodeJS.ErrnoException;
  return code === undefined ? error.message : `${error.message} (${code})`;
}

function withTrailingSlash(url: string): string {
  return url.endsWith("/") ? url : `${url}/`;
}
