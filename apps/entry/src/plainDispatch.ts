import type { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { IDEMPOTENCY_KEY_HEADER } from "./constants.ts";
import { Dispatch, type DispatchSummary } from "./dispatch.ts";
import type { UpstreamResponse } from "./upstreamClient.ts";
import type { UpstreamError } from "./upstreamError.ts";

/**
 * Answers up to this size are held until they are whole, so that one that
 * breaks becomes a problem document. A larger one is relayed as it comes, and
 * breaks its caller's connection when it breaks.
 */
const MAX_HELD_BYTES = 4 * 1024 * 1024;
const HELD_HEADERS = [
  "content-type",
  "content-language",
  "etag",
  "location",
  "last-modified",
];

/**
 * A call to a plain service. Such a service keeps nothing that could be
 * resumed: a connection that breaks after bytes have left ends the call as
 * unknown, and it is never sent again.
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
    const { response: record } = this.options;
    const head = { status, headers: keptHeaders(headers) };
    const held: Buffer[] = [];
    let heldBytes = 0;
    const release = (): void => {
      record.writeHead(head);
      for (const part of held.splice(0)) record.append(part);
    };
    const read = await this.readParts(body, (part) => {
      held.push(part);
      heldBytes += part.byteLength;
      if (heldBytes <= MAX_HELD_BYTES) return;
      release();
      if (record.isFull) return record.whenWritable();
    });
    if (read.isErr()) return err(read.error);
    release();
    record.finish({ kind: "whole" });
    return ok({ status, outputTokens: 0, cachedTokens: undefined });
  }
}

function keptHeaders(
  headers: UpstreamResponse["headers"],
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const name of HELD_HEADERS) {
    const value = headers[name];
    if (value !== undefined) kept[name] = value;
  }
  return kept;
}
