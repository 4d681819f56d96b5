import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { CHAT_PATH } from "./constants.ts";
import { CompletionStream, completionUsageOf } from "./completionStream.ts";
import { Dispatch, type DispatchSummary } from "./dispatch.ts";
import type { UpstreamBody, UpstreamResponse } from "./upstreamClient.ts";
import type { UpstreamError } from "./upstreamError.ts";

/** Resumes of one dispatch; engines hold a broken request for seconds, not for long. */
const MAX_RESUMES = 4;
/** An engine closes an answer right after its end mark. */
const DRAIN_MS = 1_000;
const STREAM_HEADERS = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-store",
  "x-accel-buffering": "no",
};
const JSON_HEADERS = { "content-type": "application/json" };
/** Errors after which the engine may still work on the request. */
const STILL_RUNNING = new Set<UpstreamError["kind"]>([
  "broken",
  "malformed",
  "not-own",
]);
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY = 429;
const HTTP_SERVER_ERROR = 500;

/**
 * A completion at a model engine, streamed or whole.
 *
 * A connection that breaks is no reason to run the request again: the engine
 * still holds it, so the stream goes on from the last token passed on. That is
 * no second dispatch, and the caller sees neither a gap nor a double.
 */
export class ModelDispatch extends Dispatch {
  #stream = this.#createStream();
  #text = "";
  #hasFirstToken = false;

  override async run(): Promise<Result<DispatchSummary, UpstreamError>> {
    return (await this.#send()).mapErr((error) => this.#giveUp(error));
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
    if (sent.isErr()) return this.#recover(sent.error);
    if (isRefusedRun(sent.value.status)) {
      sent.value.body.destroy();
      const detail = `The engine answered ${sent.value.status}`;
      return err({ kind: "refused-run", detail });
    }
    if (sent.value.status !== HTTP_OK) {
      return await this.#relayClientError(sent.value);
    }
    if (request.shouldStream) return await this.#relayStream(sent.value);
    return await this.#relayWhole(sent.value);
  }

  override async resume(): Promise<Result<DispatchSummary, UpstreamError>> {
    const resumed = await this.#resumeFrom({
      kind: "broken",
      detail: "Another host held the connection",
    });
    return resumed.mapErr((error) => this.#giveUp(error));
  }

  /** The engine would go on with what nobody will read. */
  #giveUp(error: UpstreamError): UpstreamError {
    if (STILL_RUNNING.has(error.kind)) {
      const { client, target } = this.options;
      void client.cancel(target.url, target.nonce);
    }
    return this.countSafeguard(error);
  }

  /** Only a connection that broke after bytes had left can be resumed. */
  #recover(
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
      const answer = await this.#sendResume();
      if (answer.isErr()) {
        error = brokenOf(answer.error);
        continue;
      }
      if (answer.value.status === HTTP_NOT_FOUND) return err({ kind: "gone" });
      if (answer.value.status !== HTTP_OK) return err({ kind: "gone" });
      const relayed = await this.#readStream(answer.value);
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
    answer: UpstreamResponse,
  ): Promise<Result<DispatchSummary, UpstreamError>> {
    const relayed = await this.#readStream(answer);
    if (relayed.isErr()) return await this.#recover(relayed.error);
    return this.#finishStream();
  }

  async #readStream(
    { body }: UpstreamResponse,
  ): Promise<Result<void, UpstreamError>> {
    const { response: record, onSafeguard } = this.options;
    const stream = this.#stream;
    const reading = this.readParts(body, (part) => {
      stream.feed(part);
      if (stream.error !== undefined || stream.hasTrailingEvents) {
        body.destroy();
      }
      if (record.isFull) return record.whenWritable();
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
   * The caller has the whole answer. The connection is read to its end, so that
   * it can serve again; an engine that neither ends nor closes loses it.
   */
  #drain(body: UpstreamBody, reading: Promise<unknown>): void {
    const limit = this.options.timer.after(DRAIN_MS, () => body.destroy());
    void reading.then(() => limit.cancel());
  }

  #finishStream(): Result<DispatchSummary, UpstreamError> {
    const { request, response: record, target } = this.options;
    const usage = this.#stream.usage;
    if (!request.shouldStream) {
      const whole = Buffer.from(JSON.stringify(this.#assembled(target.nonce)));
      record.writeHead({ status: HTTP_OK, headers: jsonHeaders(whole) });
      record.append(whole);
    }
    record.finish({ kind: "whole" });
    return ok({
      status: HTTP_OK,
      outputTokens: this.#stream.tokenCount,
      cachedTokens: usage?.cachedTokens,
    });
  }

  #assembled(nonce: string): Record<string, unknown> {
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

  async #relayWhole(
    { status, body }: UpstreamResponse,
  ): Promise<Result<DispatchSummary, UpstreamError>> {
    const { response: record, target } = this.options;
    const read = await this.collectBody(body);
    if (read.isErr()) return await this.#recover(read.error);
    this.#noteToken();
    const whole = read.value;
    const checked = checkWhole(whole, `chatcmpl-${target.nonce}`);
    if (checked.isErr()) return await this.#recover(checked.error);
    record.writeHead({ status, headers: jsonHeaders(whole) });
    record.append(whole);
    record.finish({ kind: "whole" });
    return ok({ status, ...checked.value });
  }

  /** What the engine says of a wrong request is for its caller. */
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
        if (isToken) this.#noteToken();
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

  #noteToken(): void {
    if (this.#hasFirstToken) {
      this.options.onToken();
      return;
    }
    this.#hasFirstToken = true;
    this.options.onFirstToken();
  }
}

/**
 * A resume that finds no open port says nothing of the dispatch before it,
 * whose bytes have left. Passed on as refused, it would be taken for "no byte
 * left": the request would run again elsewhere, or its caller be told "not run".
 */
function brokenOf(error: UpstreamError): UpstreamError {
  if (error.kind !== "refused") return error;
  return { kind: "broken", detail: error.detail };
}

function jsonHeaders(body: Buffer): Record<string, string> {
  return { ...JSON_HEADERS, "content-length": String(body.byteLength) };
}

/** The engine is full or broken; nothing shows that it ran nothing of the request. */
function isRefusedRun(status: number): boolean {
  return status === HTTP_TOO_MANY || status >= HTTP_SERVER_ERROR;
}

function contentOf(data: string): string {
  const chunk = JSON.parse(data) as {
    choices: { delta: { content: string } }[];
  };
  return chunk.choices[0]!.delta.content;
}

interface WholeCompletion {
  id?: unknown;
  usage?: Parameters<typeof completionUsageOf>[0];
}

function checkWhole(
  body: Buffer,
  expectedId: string,
): Result<
  { outputTokens: number; cachedTokens: number | undefined },
  UpstreamError
> {
  let completion: WholeCompletion;
  try {
    completion = JSON.parse(body.toString("utf8")) as WholeCompletion;
  } catch {
    // Cut off where its length was not announced; the engine still holds it.
    return err({ kind: "broken", detail: "The answer is not valid JSON" });
  }
  if (completion.id !== expectedId) {
    return err({
      kind: "not-own",
      detail: "The answer's id is not this dispatch's",
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
