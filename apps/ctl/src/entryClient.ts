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

/** A status of 12,000 upstreams is a little over a megabyte. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Why an entry host gave no answer that can be used. */
export type EntryError =
  | { readonly kind: "no-answer"; readonly detail: string }
  | { readonly kind: "malformed"; readonly detail: string };

/** The part of an HTTP answer that is read. */
export interface EntryResponse {
  readonly statusCode: number;
  readonly body: AsyncIterable<Uint8Array>;
}

/** Sends one request; as undici's `request`, which is the default. */
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
  /** Base url of the operator port. */
  readonly url: string;
  readonly timeoutMs: Milliseconds;
  readonly fetch?: EntryFetch;
  readonly timer?: Timer;
  readonly dispatcher?: Dispatcher;
}

/** How an entry host took the order to drain. */
export type DrainState = "started" | "under-way";

interface JsonAnswer {
  readonly statusCode: number;
  readonly value: unknown;
}

/** Asks one entry host at its operator port. */
export class EntryClient {
  readonly url: string;
  readonly #timeoutMs: Milliseconds;
  readonly #request: EntryFetch;
  readonly #timer: Timer;
  readonly #dispatcher: Dispatcher | undefined;

  constructor(options: EntryClientOptions) {
    const { url, timeoutMs, fetch: request = undiciRequest } = options;
    this.url = url;
    this.#timeoutMs = timeoutMs;
    this.#request = request;
    this.#timer = options.timer ?? new SystemTimer();
    this.#dispatcher = options.dispatcher;
  }

  async fetchStatus(): Promise<Result<EntryStatus, EntryError>> {
    const answer = await this.#ask("GET", "status");
    return answer.andThen(({ value }): Result<EntryStatus, EntryError> => {
      const parsed = entryStatusSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      const { issues } = parsed.error;
      const [first] = schemaFindings(entryStatusSchema, { issues, value });
      const detail = `${formatPath(first!.path)}: ${first!.message}`;
      return err({ kind: "malformed", detail });
    });
  }

  /** Whether the process answers as alive. */
  async isHealthy(): Promise<Result<boolean, EntryError>> {
    const answer = await this.#ask("GET", "health");
    return answer.map(({ statusCode }) => statusCode === 200);
  }

  /** Whether it takes new connections. */
  async isReady(): Promise<Result<boolean, EntryError>> {
    const answer = await this.#ask("GET", "ready");
    return answer.map(({ statusCode }) => statusCode === 200);
  }

  /** Orders a planned stop, under the bundle's default stop plan or a named one. */
  async drain(
    stopPlan?: string,
  ): Promise<Result<DrainState, EntryError>> {
    const answer = await this.#ask("POST", "drain", { stopPlan });
    return answer.andThen(({ statusCode }): Result<DrainState, EntryError> => {
      if (statusCode === 202) return ok("started");
      if (statusCode === 409) return ok("under-way");
      const detail = `The entry host answers ${statusCode}`;
      return err({ kind: "malformed", detail });
    });
  }

  async #ask(
    method: "GET" | "POST",
    path: string,
    body?: object,
  ): Promise<Result<JsonAnswer, EntryError>> {
    const abort = new AbortController();
    const timeout = this.#timer.after(
      this.#timeoutMs,
      () =>
        abort.abort(new Error(`No whole answer within ${this.#timeoutMs} ms`)),
    );
    try {
      const answer = await this.#request(this.#urlOf(path), {
        method,
        signal: abort.signal,
        ...(body === undefined ? {} : jsonBody(body)),
        ...(this.#dispatcher && { dispatcher: this.#dispatcher }),
      });
      return await readJson(answer);
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
): Promise<Result<JsonAnswer, EntryError>> {
  const bytes = await readBoundedBody(body, MAX_ANSWER_BYTES);
  if (bytes === undefined) {
    const detail = `The answer is larger than ${MAX_ANSWER_BYTES} bytes`;
    return err({ kind: "malformed", detail });
  }
  try {
    return ok({ statusCode, value: JSON.parse(bytes.toString("utf8")) });
  } catch {
    const detail = `The answer (${statusCode}) is no JSON`;
    return err({ kind: "malformed", detail });
  }
}
