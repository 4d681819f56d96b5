import type { Buffer } from "node:buffer";
import type { Result } from "neverthrow";
import type { Nonce } from "@wasabivane/common";
import type { UpstreamError } from "./upstreamError.ts";

/** An HTTP call to one upstream. */
export interface UpstreamRequest {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  readonly nonce: Nonce;
  /**
   * Whether the call must go over a connection that no call used before. An
   * upstream may close a used one just as the call is sent, and then nobody
   * knows whether it ran.
   */
  readonly shouldUseNewConnection?: boolean;
  readonly signal: AbortSignal;
}

/** The bytes of an answer as they arrive. */
export interface UpstreamBody extends AsyncIterable<Buffer> {
  /** Closes the connection; the rest is not read. */
  destroy(error?: Error): unknown;
  /** Bytes that arrived and were not read. */
  readonly readableLength?: number;
}

/** An upstream's answer whose head has been checked. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: UpstreamBody;
}

/** Calls upstreams. Nothing is ever sent twice below this interface. */
export abstract class UpstreamClient {
  /** Sends a call and checks that the answer's head is this dispatch's own. */
  abstract send(
    call: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, UpstreamError>>;
  /** Reads a small JSON document, such as a load report. */
  abstract readJson(
    url: string,
    path: string,
  ): Promise<Result<unknown, UpstreamError>>;
  /** Tells an engine to stop a request; best effort, the connection is closed anyway. */
  abstract cancel(url: string, nonce: Nonce): Promise<void>;
  /** Closes all connections. */
  abstract close(): Promise<void>;
}
