import type { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { IDEMPOTENCY_KEY_HEADER } from "./constants.ts";
import { Dispatch, type DispatchSummary } from "./dispatch.ts";
import type { UpstreamResponse } from "./upstreamClient.ts";
import type { UpstreamError } from "./upstreamError.ts";

/**
 * Responses up to this size are buffered until complete, so that a broken one
 * is reported by a problem document. Larger ones are relayed as they arrive.
 */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
const STATUS_NO_CONTENT = 204;
const FORWARDED_HEADERS = [
  "content-type",
  "content-language",
  "etag",
  "location",
  "last-modified",
];

/**
 * Runs a request at a plain service. Such requests cannot be resumed: if the
 * connection breaks after bytes were sent, the request ends as "unknown".
 */
export class PlainDispatch extends Dispatch {
  override async run(): Promise<Result<DispatchSummary, UpstreamError>> {
    const { client, request, target, signal } = this.options;
    const headers: Record<string, string> = { ...request.headers };
    if (request.idempotencyKey !== undefined) {
      headers[IDEMPOTENCY_KEY_HEADER] = request.idempotencyKey;
    }
    const sent = await client.send({
      url: target.url,
      method: request.method,
      path: request.path,
      headers,
      body: request.body,
      nonce: target.nonce,
      shouldUseNewConnection: !request.isIdempotent,
      signal,
    });
    if (sent.isErr()) return err(this.countSafeguard(sent.error));
    this.options.onFirstToken();
    return await this.#relay(sent.value);
  }

  override resume(): Promise<Result<DispatchSummary, UpstreamError>> {
    return Promise.resolve(err({ kind: "gone" }));
  }

  async #relay(
    { status, headers, body }: UpstreamResponse,
  ): Promise<Result<DispatchSummary, UpstreamError>> {
    const { response } = this.options;
    const head = { status, headers: forwardedHeaders(headers) };
    const buffered: Buffer[] = [];
    let bufferedBytes = 0;
    const flush = (): void => {
      response.writeHead(head);
      for (const part of buffered.splice(0)) response.append(part);
    };
    const read = await this.readParts(body, (part) => {
      buffered.push(part);
      bufferedBytes += part.byteLength;
      if (bufferedBytes <= MAX_BUFFERED_BYTES) return;
      flush();
      if (response.isFull) return response.whenWritable();
    });
    if (read.isErr()) return err(read.error);
    const isEmpty = bufferedBytes === 0 && this.#expectsBody(status, headers);
    if (isEmpty) {
      const detail = "The connection ended with the head of the answer";
      return err({ kind: "broken", detail });
    }
    flush();
    response.finish({ kind: "whole" });
    return ok({ status, outputTokens: 0, cachedTokens: undefined });
  }

  /** Whether a success has neither a length nor chunks that show it to be empty. */
  #expectsBody(status: number, headers: UpstreamResponse["headers"]): boolean {
    const isSuccess = status >= 200 && status < 300;
    return isSuccess && status !== STATUS_NO_CONTENT &&
      this.options.request.method !== "HEAD" &&
      headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
  }
}

function forwardedHeaders(
  headers: UpstreamResponse["headers"],
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (value !== undefined) forwarded[name] = value;
  }
  return forwarded;
}
