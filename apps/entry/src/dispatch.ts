import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type { Nonce, Timer, UpstreamId } from "@wasabivane/common";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import type { BufferedResponse } from "./bufferedResponse.ts";
import type { UpstreamBody, UpstreamClient } from "./upstreamClient.ts";
import type { UpstreamError } from "./upstreamError.ts";

/** Limits the memory for one response; far above the longest completion. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** The upstream that a request is sent to and the nonce of the dispatch. */
export interface DispatchTarget {
  readonly upstream: UpstreamId;
  readonly url: string;
  readonly nonce: Nonce;
}

/** Status and token counts of a completed dispatch. */
export interface DispatchSummary {
  readonly status: number;
  readonly outputTokens: number;
  readonly cachedTokens: number | undefined;
}

/** Options of one {@link Dispatch}. */
export interface DispatchOptions {
  readonly client: UpstreamClient;
  readonly timer: Timer;
  readonly request: AcceptedRequest;
  readonly target: DispatchTarget;
  readonly response: BufferedResponse;
  readonly signal: AbortSignal;
  /** Called at the first token, or once for a response that is not streamed. */
  readonly onFirstToken: () => void;
  /** Called at each further token. */
  readonly onToken: () => void;
  readonly onSafeguard: (name: string) => void;
}

/** Runs one request at one upstream and writes the response. */
export abstract class Dispatch {
  protected readonly options: DispatchOptions;

  constructor(options: DispatchOptions) {
    this.options = options;
  }

  /** Sends the request. */
  abstract run(): Promise<Result<DispatchSummary, UpstreamError>>;

  /** Resumes a request that another process dispatched. */
  abstract resume(): Promise<Result<DispatchSummary, UpstreamError>>;

  /** Counts the error if a safeguard detected it, and returns it. */
  protected countSafeguard(error: UpstreamError): UpstreamError {
    if (error.kind === "not-own") this.options.onSafeguard("answer_not_own");
    return error;
  }

  /** Reads a complete body into memory, up to a size limit. */
  protected async collectBody(
    body: UpstreamBody,
  ): Promise<Result<Buffer, UpstreamError>> {
    const parts: Buffer[] = [];
    let bytes = 0;
    const read = await this.readParts(body, (part) => {
      bytes += part.byteLength;
      if (bytes > MAX_BODY_BYTES) body.destroy();
      else parts.push(part);
    });
    if (bytes > MAX_BODY_BYTES) {
      return err({ kind: "malformed", detail: "The answer is too large" });
    }
    return read.map(() => Buffer.concat(parts));
  }

  protected async readParts(
    body: AsyncIterable<Buffer>,
    onPart: (part: Buffer) => void | Promise<void>,
  ): Promise<Result<void, UpstreamError>> {
    try {
      for await (const part of body) await onPart(part);
      return ok();
    } catch (thrown) {
      if (this.options.signal.aborted) return err({ kind: "aborted" });
      return err({ kind: "broken", detail: String((thrown as Error).message) });
    }
  }
}
