import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type { Nonce, Timer, UpstreamId } from "@wasabivane/common";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import type { BufferedResponse } from "./bufferedResponse.ts";
import type { UpstreamBody, UpstreamClient } from "./upstreamClient.ts";
import type { UpstreamError } from "./upstreamError.ts";

/** Far above the longest completion; an engine that never ends must not fill this host. */
const MAX_WHOLE_BYTES = 16 * 1024 * 1024;

/** Where and as what a request is sent. */
export interface DispatchTarget {
  readonly upstream: UpstreamId;
  readonly url: string;
  readonly nonce: Nonce;
}

/** What an attempt told besides its answer. */
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
  /** Called at the first token, or at the head of a whole answer. */
  readonly onFirstToken: () => void;
  /** Called at each further token with the time since the one before. */
  readonly onToken: () => void;
  readonly onSafeguard: (name: string) => void;
}

/** Runs one request at one upstream and writes its answer to the record. */
export abstract class Dispatch {
  protected readonly options: DispatchOptions;

  constructor(options: DispatchOptions) {
    this.options = options;
  }

  /** Sends the request; the only place from which it leaves. */
  abstract run(): Promise<Result<DispatchSummary, UpstreamError>>;

  /** Takes over a request that another process dispatched. */
  abstract resume(): Promise<Result<DispatchSummary, UpstreamError>>;

  /** Counts an error that a safeguard found. */
  protected countSafeguard(error: UpstreamError): UpstreamError {
    if (error.kind === "not-own") this.options.onSafeguard("answer_not_own");
    return error;
  }

  /** Reads an answer that is held whole before its caller sees any of it. */
  protected async collectBody(
    body: UpstreamBody,
  ): Promise<Result<Buffer, UpstreamError>> {
    const parts: Buffer[] = [];
    let bytes = 0;
    const read = await this.readParts(body, (part) => {
      bytes += part.byteLength;
      if (bytes > MAX_WHOLE_BYTES) body.destroy();
      else parts.push(part);
    });
    if (bytes > MAX_WHOLE_BYTES) {
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
