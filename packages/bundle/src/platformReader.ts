import type { Buffer } from "node:buffer";
import { type Milliseconds, SystemTimer, type Timer } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { request as undiciRequest } from "undici";
import { z } from "zod";
import { readBoundedBody } from "./readBoundedBody.ts";
import { formatPath } from "./finding.ts";
import type { PlatformError, Revisioned } from "./platform.ts";
import { schemaFindings } from "./schemaFindings.ts";

/**
 * The service answers in milliseconds; a second covers a slow network, and a
 * reader that hangs longer would miss the next change.
 */
const ANSWER_MARGIN_MS: Milliseconds = 1_000;
/** Values hold up to a megabyte; the frame around them is small. */
const MAX_ANSWER_BYTES = 1_100_000;
const DEFAULT_RETRY_AFTER_MS: Milliseconds = 1_000;
/** A garbled Retry-After must not stop reading for good. */
const MAX_RETRY_AFTER_MS: Milliseconds = 600_000;
const DETAIL_FINDINGS = 3;

/** The part of an HTTP answer that platform adapters read. */
export interface PlatformResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: AsyncIterable<Uint8Array>;
}

/** Sends one GET; as undici's `request`, which is the default. */
export type PlatformFetch = (
  url: URL,
  options: { readonly signal: AbortSignal },
) => Promise<PlatformResponse>;

/** Options of the platform adapters. */
export interface PlatformReaderOptions {
  /** Base url of the platform's service. */
  readonly url: string;
  readonly request?: PlatformFetch;
  readonly timer?: Timer;
  /** How long an answer may take beyond the wait that was asked for. */
  readonly responseMarginMs?: Milliseconds;
  readonly maximumBytes?: number;
}

/** One conditional read that may wait for the next revision. */
export interface PlatformReadOptions {
  readonly afterRevision: number;
  readonly waitMs: Milliseconds;
}

/** Reads one revised value of the platform: bounded in bytes and time, checked by a schema. */
export class PlatformReader<Value> {
  readonly #url: URL;
  readonly #schema: z.ZodType<Revisioned<Value>>;
  readonly #request: PlatformFetch;
  readonly #timer: Timer;
  readonly #answerMarginMs: Milliseconds;
  readonly #maximumBytes: number;

  constructor(
    { url, request = undiciRequest, timer = new SystemTimer(), ...limits }:
      PlatformReaderOptions,
    { path, schema }: { path: string; schema: z.ZodType<Value> },
  ) {
    this.#url = new URL(path, withSlash(url));
    this.#schema = revisedSchema(schema);
    this.#request = request;
    this.#timer = timer;
    this.#answerMarginMs = limits.responseMarginMs ?? ANSWER_MARGIN_MS;
    this.#maximumBytes = limits.maximumBytes ?? MAX_ANSWER_BYTES;
  }

  /** The value past a revision; `undefined` when none came within the wait. */
  async read(
    options: PlatformReadOptions,
  ): Promise<Result<Revisioned<Value> | undefined, PlatformError>> {
    const abort = new AbortController();
    const timeout = this.#timer.after(
      options.waitMs + this.#answerMarginMs,
      () => abort.abort(new Error("No whole answer in time")),
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
    const answer = await this.#request(url, { signal });
    const bytes = await readBoundedBody(answer.body, this.#maximumBytes);
    if (bytes === undefined) return this.#tooLarge();
    if (answer.statusCode === 304) return ok(undefined);
    if (answer.statusCode === 429) return err(this.#overBudget(answer));
    if (answer.statusCode !== 200) {
      const detail = `The service answers ${answer.statusCode}`;
      return err({ kind: "unreachable", detail });
    }
    return this.#parse(bytes).map((revised) =>
      // A service that fell back to an old state must not be taken for news.
      revised.revision > afterRevision ? revised : undefined
    );
  }

  #tooLarge(): Result<never, PlatformError> {
    const detail = `The answer is larger than ${this.#maximumBytes} bytes`;
    return err({ kind: "malformed", detail });
  }

  #overBudget({ headers }: PlatformResponse): PlatformError {
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
        const detail = findings.slice(0, DETAIL_FINDINGS).map(
          ({ path, message }) => `${formatPath(path)}: ${message}`,
        ).join("; ");
        return err({ kind: "malformed", detail });
      },
    );
  }
}

function revisedSchema<Value>(
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
    const detail = "The answer is no JSON in UTF-8";
    return err({ kind: "malformed", detail });
  }
}

/** Milliseconds of a Retry-After header, which holds seconds or a date (RFC 9110). */
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

function withSlash(url: string): string {
  return url.endsWith("/") ? url : `${url}/`;
}
