import {
  type EntryStatus,
  entryStatusSchema,
  formatPath,
  readBoundedBody,
  schemaFindings,
} from "@wasabivane/bundle";
import { type Milliseconds, SystemTimer, type Timer } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request as undiciRequest } from "undici";

const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Why an entry host gave no usable response. */
export type EntryError =
  | { readonly kind: "no-answer"; readonly detail: string }
  | { readonly kind: "malformed"; readonly detail: string };

/** The part of an HTTP response that the client reads. */
export interface EntryResponse {
  readonly statusCode: number;
  readonly body: AsyncIterable<Uint8Array>;
}

/** Sends one HTTP request; compatible with undici's `request`. */
export type EntryFetch = (
  url: URL,
  options: {
    readonly method: "GET" | "POST";
    readonly headers?: Record<string, string>;
    readonly body?: string;
    readonly signal: AbortSignal;
    readonly dispatcher?: Dispatcher;
  },
) => Promise<EntryResponse>;

/** Options of an {@link EntryClient}. */
export interface EntryClientOptions {
  /** Base URL of the operator port. */
  readonly url: string;
  readonly timeoutMs: Milliseconds;
  /** Defaults to undici's `request`. */
  readonly fetch?: EntryFetch;
  readonly timer?: Timer;
  readonly dispatcher?: Dispatcher;
}

/** State of an entry host's planned stop after a drain request. */
export type DrainState = "started" | "under-way";

interface JsonResponse {
  readonly statusCode: number;
  readonly value: unknown;
}

/** Client of one entry host's operator API. */
export class EntryClient {
  readonly url: string;
  readonly #timeoutMs: Milliseconds;
  readonly #fetch: EntryFetch;
  readonly #timer: Timer;
  readonly #dispatcher: Dispatcher | undefined;

  constructor(options: EntryClientOptions) {
    const { url, timeoutMs, fetch = undiciRequest } = options;
    this.url = url;
    this.#timeoutMs = timeoutMs;
    this.#fetch = fetch;
    this.#timer = options.timer ?? new SystemTimer();
    this.#dispatcher = options.dispatcher;
  }

  /** Fetches and checks the host's status. */
  async fetchStatus(): Promise<Result<EntryStatus, EntryError>> {
    const response = await this.#send("GET", "status");
    return response.andThen(({ value }): Result<EntryStatus, EntryError> => {
      const parsed = entryStatusSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      const { issues } = parsed.error;
      const [first] = schemaFindings(entryStatusSchema, { issues, value });
      const detail = `${formatPath(first!.path)}: ${first!.message}`;
      return err({ kind: "malformed", detail });
    });
  }

  /** Whether the liveness check succeeds. */
  async isHealthy(): Promise<Result<boolean, EntryError>> {
    const response = await this.#send("GET", "health");
    return response.map(({ statusCode }) => statusCode === 200);
  }

  /** Whether the host accepts new connections. */
  async isReady(): Promise<Result<boolean, EntryError>> {
    const response = await this.#send("GET", "ready");
    return response.map(({ statusCode }) => statusCode === 200);
  }

  /** Starts a planned stop, by default under the bundle's default stop plan. */
  async drain(
    stopPlan?: string,
  ): Promise<Result<DrainState, EntryError>> {
    const response = await this.#send("POST", "drain", { stopPlan });
    return response.andThen(
      ({ statusCode }): Result<DrainState, EntryError> => {
        if (statusCode === 202) return ok("started");
        if (statusCode === 409) return ok("under-way");
        const detail = `The entry host responded with status ${statusCode}`;
        return err({ kind: "malformed", detail });
      },
    );
  }

  async #send(
    method: "GET" | "POST",
    path: string,
    body?: object,
  ): Promise<Result<JsonResponse, EntryError>> {
    const abort = new AbortController();
    const timeout = this.#timer.after(
      this.#timeoutMs,
      () =>
        abort.abort(new Error(`No whole answer within ${this.#timeoutMs} ms`)),
    );
    try {
      const response = await this.#fetch(this.#urlOf(path), {
        method,
        signal: abort.signal,
        ...(body === undefined ? {} : jsonBody(body)),
        ...(this.#dispatcher && { dispatcher: this.#dispatcher }),
      });
      return await readJson(response);
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      return err({ kind: "no-answer", detail: code ?? message });
    } finally {
      timeout.cancel();
    }
  }

  #urlOf(path: string): URL {
    const base = this.url.endsWith("/") ? this.url : `${this.url}/`;
    return new URL(path, base);
  }
}

function jsonBody(
  body: object,
): { body: string; headers: Record<string, string> } {
  const headers = { "content-type": "application/json" };
  return { body: JSON.stringify(body), headers };
}

async function readJson(
  { statusCode, body }: EntryResponse,
): Promise<Result<JsonResponse, EntryError>> {
  const bytes = await readBoundedBody(body, MAX_RESPONSE_BYTES);
  if (bytes === undefined) {
    const detail = `The response is larger than ${MAX_RESPONSE_BYTES} bytes`;
    return err({ kind: "malformed", detail });
  }
  try {
    return ok({ statusCode, value: JSON.parse(bytes.toString("utf8")) });
  } catch {
    const detail = `The answer (${statusCode}) is no JSON`;
    return err({ kind: "malformed", detail });
  }
}
