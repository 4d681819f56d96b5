import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { CHAT_PATH } from "./constants.ts";
import { CompletionStream, completionUsageOf } from "./completionStream.ts";
import { Dispatch, type DispatchSummary } from "./dispatch.ts";
import type { UpstreamBody, UpstreamResponse } from "./upstreamClient.ts";
import type { UpstreamError } from "./upstreamError.ts";

/** Resumes per dispatch; engines hold a broken request for seconds only. */
const MAX_RESUMES = 4;
/** Time for an engine to end its response after the end marker. */
const DRAIN_TIMEOUT_MS = 1_000;
const STREAM_HEADERS = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-store",
  "x-accel-buffering": "no",
};
const JSON_HEADERS = { "content-type": "application/json" };
/** Errors after which the engine may still be running the request. */
const STILL_RUNNING_ERRORS = new Set<UpstreamError["kind"]>([
  "broken",
  "malformed",
  "not-own",
]);
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVER_ERROR = 500;

/**
 * Runs a completion at a model engine, streamed or not. When the connection
 * breaks, resumes the stream after the last received token, which the engine
 * supports without running the request again.
 */
export class ModelDispatch extends Dispatch {
  #stream = this.#createStream();
  #text = "";
  #hasFirstToken = false;

  override async run(): Promise<Result<DispatchSummary, UpstreamError>> {
    return (await this.#send()).mapErr((error) => this.#cancelIfRunning(error));
  }

  async #send(): Promise<Result<DispatchSummary, UpstreamError>> {
    const { client, request, target, signal } = this.options;
    const sent = await client.send({
      url: target.url,
      method: "POST",
      path: CHAT_PATH,
      headers: JSON_HEADERS,
      body: request.body,
      nonce: target.nonce,
      signal,
    });
    if (sent.isErr()) return this.#resumeIfBroken(sent.error);
    if (isExecutionRefused(sent.value.status)) {
      sent.value.body.destroy();
      const detail = `The engine answered ${sent.value.status}`;
      return err({ kind: "refused-run", detail });
    }
    if (sent.value.status !== HTTP_OK) {
      return await this.#relayClientError(sent.value);
    }
    if (request.shouldStream) return await this.#relayStream(sent.value);
    return await this.#relayCompletion(sent.value);
  }

  override async resume(): Promise<Result<DispatchSummary, UpstreamError>> {
    const resumed = await this.#resumeFrom({
      kind: "broken",
      detail: "Another host held the connection",
    });
    return resumed.mapErr((error) => this.#cancelIfRunning(error));
  }

  /** Cancels the request if the engine may still be running it. */
  #cancelIfRunning(error: UpstreamError): UpstreamError {
    if (STILL_RUNNING_ERRORS.has(error.kind)) {
      const { client, target } = this.options;
      void client.cancel(target.url, target.nonce);
    }
    return this.countSafeguard(error);
  }

  /**
   * Resumes after a connection broke with bytes sent; other errors are final.
   */
  #resumeIfBroken(
    error: UpstreamError,
  ): Promise<Result<DispatchSummary, UpstreamError>> {
    if (error.kind !== "broken") return Promise.resolve(err(error));
    return this.#resumeFrom(error);
  }

  async #resumeFrom(
    cause: UpstreamError,
  ): Promise<Result<DispatchSummary, UpstreamError>> {
    let error = cause;
    for (
      let attempt = 0;
      attempt < MAX_RESUMES && error.kind === "broken";
      attempt++
    ) {
      this.options.onSafeguard("resume");
      const upstreamResponse = await this.#sendResume();
      if (upstreamResponse.isErr()) {
        error = toBrokenError(upstreamResponse.error);
        continue;
      }
      if (upstreamResponse.value.status === HTTP_NOT_FOUND) {
        return err({ kind: "gone" });
      }
      if (upstreamResponse.value.status !== HTTP_OK) {
        return err({ kind: "gone" });
      }
      const relayed = await this.#readStream(upstreamResponse.value);
      if (relayed.isOk()) return this.#finishStream();
      error = relayed.error;
    }
    return err(error);
  }

  #sendResume(): Promise<Result<UpstreamResponse, UpstreamError>> {
    const { client, target, signal } = this.options;
    this.#stream.resetParser();
    return client.send({
      url: target.url,
      method: "POST",
      path: `/v1/requests/${target.nonce}/resume`,
      headers: JSON_HEADERS,
      body: JSON.stringify({ offset: this.#stream.tokenCount }),
      nonce: target.nonce,
      signal,
    });
  }

  async #relayStream(
    upstreamResponse: UpstreamResponse,
  ): Promise<Result<DispatchSummary, UpstreamError>> {
    const relayed = await this.#readStream(upstreamResponse);
    if (relayed.isErr()) return await this.#resumeIfBroken(relayed.error);
    return this.#finishStream();
  }

  async #readStream(
    { body }: UpstreamResponse,
  ): Promise<Result<void, UpstreamError>> {
    const { response, onSafeguard } = this.options;
    const stream = this.#stream;
    const reading = this.readParts(body, (part) => {
      stream.feed(part);
      if (stream.error !== undefined || stream.hasTrailingEvents) {
        body.destroy();
      }
      if (response.isFull) return response.whenWritable();
    });
    const read = await Promise.race([reading, stream.whenComplete]);
    if (stream.isComplete) {
      this.#drain(
        body,
        reading.then(() =>
          stream.hasTrailingEvents && onSafeguard("excess_answer")
        ),
      );
      return ok();
    }
    if (stream.error !== undefined) return err(stream.error);
    if (read?.isErr()) return err(read.error);
    return err({
      kind: "broken",
      detail: "The stream ended without its end mark",
    });
  }

  /**
   * Reads the rest of a complete response, so that the connection can be
   * reused. Closes the connection if the engine does not end the response in
   * time.
   */
  #drain(body: UpstreamBody, reading: Promise<unknown>): void {
    const timeout = this.options.timer.after(
      DRAIN_TIMEOUT_MS,
      () => body.destroy(),
    );
    void reading.then(() => timeout.cancel());
  }

  #finishStream(): Result<DispatchSummary, UpstreamError> {
    const { request, response, target } = this.options;
    const usage = this.#stream.usage;
    if (!request.shouldStream) {
      const body = Buffer.from(
        JSON.stringify(this.#assembleCompletion(target.nonce)),
      );
      response.writeHead({ status: HTTP_OK, headers: jsonHeaders(body) });
      response.append(body);
    }
    response.finish({ kind: "whole" });
    return ok({
      status: HTTP_OK,
      outputTokens: this.#stream.tokenCount,
      cachedTokens: usage?.cachedTokens,
    });
  }

  #assembleCompletion(nonce: string): Record<string, unknown> {
    const usage = this.#stream.usage;
    return {
      id: `chatcmpl-${nonce}`,
      object: "chat.completion",
      choices: [{
        index: 0,
        message: { role: "assistant", content: this.#text },
        finish_reason: "stop",
      }],
      usage: {
        prompt_tokens: usage?.promptTokens ?? 0,
        completion_tokens: usage?.completionTokens ?? this.#stream.tokenCount,
        prompt_tokens_details: { cached_tokens: usage?.cachedTokens ?? 0 },
      },
    };
  }

  async #relayCompletion(
    { status, body }: UpstreamResponse,
  ): Promise<Result<DispatchSummary, UpstreamError>> {
    const { response, target } = this.options;
    const read = await this.collectBody(body);
    if (read.isErr()) return await this.#resumeIfBroken(read.error);
    this.#recordToken();
    const completeBody = read.value;
    const checked = checkCompletion(completeBody, `chatcmpl-${target.nonce}`);
    if (checked.isErr()) return await this.#resumeIfBroken(checked.error);
    response.writeHead({ status, headers: jsonHeaders(completeBody) });
    response.append(completeBody);
    response.finish({ kind: "whole" });
    return ok({ status, ...checked.value });
  }

  /** Relays an engine's client error response to the caller. */
  async #relayClientError(
    { status, headers, body }: UpstreamResponse,
  ): Promise<Result<DispatchSummary, UpstreamError>> {
    const read = await this.collectBody(body);
    if (read.isErr()) return err(read.error);
    const type = headers["content-type"] ?? "application/json";
    this.options.response.writeHead({
      status,
      headers: { "content-type": type },
    });
    this.options.response.append(read.value);
    this.options.response.finish({ kind: "whole" });
    return ok({ status, outputTokens: 0, cachedTokens: undefined });
  }

  #createStream(): CompletionStream {
    return new CompletionStream(
      this.options.target.nonce,
      ({ data, isToken }) => {
        if (isToken) this.#recordToken();
        if (!this.options.request.shouldStream) {
          this.#text += isToken ? contentOf(data) : "";
          return;
        }
        this.options.response.writeHead({
          status: HTTP_OK,
          headers: STREAM_HEADERS,
        });
        this.options.response.append(Buffer.from(`data: ${data}\n\n`));
      },
    );
  }

  #recordToken(): void {
    if (this.#hasFirstToken) {
      this.options.onToken();
      return;
    }
    this.#hasFirstToken = true;
    this.options.onFirstToken();
  }
}

/**
 * Converts a refused connection of a resume to a broken one. The bytes of the
 * dispatch were sent before, so the request must not be retried elsewhere or
 * reported as "not run".
 */
function toBrokenError(error: UpstreamError): UpstreamError {
  if (error.kind !== "refused") return error;
  return { kind: "broken", detail: error.detail };
}

function jsonHeaders(body: Buffer): Record<string, string> {
  return { ...JSON_HEADERS, "content-length": String(body.byteLength) };
}

/**
 * Whether the engine refused the request; it may still have run a part of it.
 */
function isExecutionRefused(status: number): boolean {
  return status === HTTP_TOO_MANY_REQUESTS || status >= HTTP_SERVER_ERROR;
}

function contentOf(data: string): string {
  const chunk = JSON.parse(data) as {
    choices: { delta: { content: string } }[];
  };
  return chunk.choices[0]!.delta.content;
}

interface Completion {
  id?: unknown;
  usage?: Parameters<typeof completionUsageOf>[0];
}

function checkCompletion(
  body: Buffer,
  expectedId: string,
): Result<
  { outputTokens: number; cachedTokens: number | undefined },
  UpstreamError
> {
  let completion: Completion;
  try {
    completion = JSON.parse(body.toString("utf8")) as Completion;
  } catch {
    // Probably truncated; the engine still holds the response.
    return err({ kind: "broken", detail: "The answer is not valid JSON" });
  }
  if (completion.id !== expectedId) {
    return err({
      kind: "not-own",
      detail: "The response carries another dispatch's id",
    });
  }
  const usage = completion.usage === undefined
    ? undefined
    : completionUsageOf(completion.usage);
  return ok({
    outputTokens: usage?.completionTokens ?? 0,
    cachedTokens: usage?.cachedTokens,
  });
}
