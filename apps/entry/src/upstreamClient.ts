import type { Buffer } from "node:buffer";
import type { Result } from "neverthrow";
import type { Nonce } from "@wasabivane/common";
import type { UpstreamError } from "./upstreamError.ts";

/** An HTTP request to one upstream. */
export interface UpstreamRequest {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  readonly nonce: Nonce;
  /**
   * Whether the request must use a new connection. An upstream may close an
   * idle connection while a request is being sent, which leaves unknown whether
   * it ran.
   */
  readonly shouldUseNewConnection?: boolean;
  readonly signal: AbortSignal;
}

/** The body of a response as it arrives. */
export interface UpstreamBody extends AsyncIterable<Buffer> {
  /** Closes the connection without reading the rest. */
  destroy(error?: Error): unknown;
  /** Bytes that were received but not read. */
  readonly readableLength?: number;
}

/** An upstream's response whose nonce has been checked. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: UpstreamBody;
}

/** Sends requests to upstreams. Implementations never retry. */
export abstract class UpstreamClient {
  /** Sends a request and checks that the response carries its nonce. */
  abstract send(
    call: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, UpstreamError>>;
  /** Fetches a small JSON document, such as a load report. */
  abstract readJson(
    url: string,
    path: string,
  ): Promise<Result<unknown, UpstreamError>>;
  /** Tells an engine to cancel a request; errors are ignored. */
  abstract cancel(url: string, nonce: Nonce): Promise<void>;
  /** Closes all connections. */
  abstract close(): Promise<void>;
}
